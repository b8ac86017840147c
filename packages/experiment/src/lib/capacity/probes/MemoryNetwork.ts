import type { Mesh } from '@apricotrill/mesh';
import type { ManualClock, Milliseconds } from '@apricotrill/utils';
import { Encoder } from 'cbor-x';

type Handler = Parameters<Mesh['handle']>[1];

/** One way between two daemons. */
const DELAY: Milliseconds = 1.5;

/** What HTTP/2, TCP and IP add to one message, headers compressed: an assumption. */
export const FRAME_BYTES = 150;

/** What one daemon sends another receives; both count against a daemon's budget. */
export const IN_AND_OUT = 2;

/** The same encoding as on the wire. */
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/** What all daemons together have sent. */
export interface MeshTraffic {
  messages: number;
  bytes: number;
}

/**
 * Joins daemons of one process by their addresses, on a simulated clock. Every message is encoded
 * and decoded as on the wire, and counted.
 *
 * @internal
 */
export class MemoryNetwork {
  readonly traffic: MeshTraffic = { messages: 0, bytes: 0 };

  private readonly handlers = new Map<string, Handler>();

  constructor(private readonly clock: ManualClock) {}

  /** The daemon's end: as much of a mesh as the cluster uses. */
  createMesh(self: string, address: string): Mesh {
    const end = {
      handle: (topic: string, handler: Handler) => {
        this.handlers.set(`${address}/${topic}`, handler);
      },
      call: (peer: string, topic: string, message: unknown) =>
        this.call({ self, peer, topic, message }),
    };
    // The class has private fields, which a stand-in cannot have.
    return end as unknown as Mesh;
  }

  private async call(order: {
    self: string;
    peer: string;
    topic: string;
    message: unknown;
  }): Promise<unknown> {
    const { self, peer, topic, message } = order;
    const request = this.pass([topic, self, message]) as unknown[];
    await this.wait();
    const handler = this.handlers.get(`${peer}/${topic}`);
    if (handler === undefined) {
      throw new Error(`nobody listens at ${peer}`);
    }
    const answer = this.pass(await handler(request[2], { from: self }));
    await this.wait();
    return answer;
  }

  private pass(message: unknown): unknown {
    const bytes = encoder.encode(message);
    this.traffic.messages += 1;
    this.traffic.bytes += bytes.length;
    return encoder.decode(bytes);
  }

  private wait(): Promise<void> {
    return new Promise((resolve) => {
      this.clock.setTimer(DELAY, resolve);
    });
  }
}
