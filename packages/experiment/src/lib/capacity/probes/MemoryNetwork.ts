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

interface Order {
  self: string;
  /** Where the caller listens. */
  address: string;
  peer: string;
  topic: string;
  message: unknown;
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

  private isCut: ((from: string, to: string) => boolean) | undefined;

  constructor(private readonly clock: ManualClock) {}

  /** Loses every message between two addresses for which the test holds. */
  cut(isCut: (from: string, to: string) => boolean): void {
    this.isCut = isCut;
  }

  heal(): void {
    this.isCut = undefined;
  }

  /** The daemon's end: as much of a mesh as the cluster uses. */
  createMesh(self: string, address: string): Mesh {
    const end = {
      handle: (topic: string, handler: Handler) => {
        this.handlers.set(`${address}/${topic}`, handler);
      },
      call: (peer: string, topic: string, message: unknown, options: { timeout: Milliseconds }) =>
        this.callInTime({ self, address, peer, topic, message }, options.timeout),
    };
    // The class has private fields, which a stand-in cannot have.
    return end as unknown as Mesh;
  }

  private callInTime(order: Order, timeout: Milliseconds): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const timer = this.clock.setTimer(timeout, () => reject(new Error('no answer in time')));
      this.call(order)
        .then(resolve, reject)
        .finally(() => timer.cancel());
    });
  }

  private async call({ self, address, peer, topic, message }: Order): Promise<unknown> {
    const request = (await this.pass(address, peer, [topic, self, message])) as unknown[];
    const handler = this.handlers.get(`${peer}/${topic}`);
    if (handler === undefined) {
      throw new Error(`nobody listens at ${peer}`);
    }
    return this.pass(peer, address, await handler(request[2], { from: self }));
  }

  /** One message on its way; it never ends when it is lost. */
  private pass(from: string, to: string, message: unknown): Promise<unknown> {
    const bytes = encoder.encode(message);
    this.traffic.messages += 1;
    this.traffic.bytes += bytes.length;
    return new Promise((resolve) => {
      if (this.isCut?.(from, to) !== true) {
        this.clock.setTimer(DELAY, () => resolve(encoder.decode(bytes)));
      }
    });
  }
}
