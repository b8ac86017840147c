import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { ChangeSignal } from './ChangeSignal.js';

/** What the relay does to the connections that pass through it, old and new. */
export enum LinkFault {
  None = 'none',
  /** Nothing passes either way until the fault is over; then what was held goes on. */
  Held = 'held',
  /** What the target sends is held, what is sent to it passes. */
  AnswersHeld = 'answers-held',
  /** Every piece takes longer. */
  Slow = 'slow',
}

/** How much longer each piece takes on a slow link, in milliseconds. */
const SLOW_DELAY = 120;

interface Link {
  near: Socket;
  far: Socket;
  isSilent: boolean;
}

/**
 * Stands between two ends of TCP connections. It can hold them, slow them down, reset them, and
 * lose track of those that are open: they stay open on both sides and nothing passes any more,
 * while new ones work.
 *
 * @public
 */
export class TcpProxy {
  private readonly target: number;

  private readonly server: Server;

  private readonly links = new Set<Link>();

  private fault = LinkFault.None;

  private count = 0;

  private readonly opened = new ChangeSignal();

  /** @param target - the loopback port behind the relay */
  constructor(target: number) {
    this.target = target;
    this.server = createServer((near) => this.join(near));
  }

  /** @returns the port in front of the relay */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, '127.0.0.1', () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Puts a fault on all connections; `None` heals them, and what was held goes on. */
  setFault(fault: LinkFault): void {
    this.fault = fault;
    this.links.forEach((link) => this.hold(link));
  }

  /** Loses track of the connections that are open now. */
  silenceConnections(): void {
    this.links.forEach((link) => Object.assign(link, { isSilent: true }));
  }

  /** Ends the connections that are open now, as a crashed end would. */
  resetConnections(): void {
    this.links.forEach(({ near, far }) => {
      near.resetAndDestroy();
      far.resetAndDestroy();
    });
  }

  /** Resets all connections and stops listening, as when a process exits. */
  async close(): Promise<void> {
    const closed = new Promise((resolve) => {
      this.server.close(resolve);
    });
    this.resetConnections();
    await closed;
  }

  /** Listens again on the given port. */
  async reopen(port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', resolve);
    });
  }

  /** How many connections have been opened so far. */
  getCount(): number {
    return this.count;
  }

  /** Resolves once that many connections have been opened. */
  waitForCount(count: number): Promise<void> {
    return this.opened.waitUntil(() => this.count >= count);
  }

  dispose(): void {
    this.server.close();
    this.links.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
  }

  private join(near: Socket): void {
    const far = connect(this.target, '127.0.0.1');
    const link = { near, far, isSilent: false };
    this.links.add(link);
    this.count += 1;
    this.opened.notify();
    this.pass(link, near, far);
    this.pass(link, far, near);
    this.hold(link);
  }

  private hold({ near, far }: Link): void {
    const isHeld = this.fault === LinkFault.Held;
    const areAnswersHeld = isHeld || this.fault === LinkFault.AnswersHeld;
    const setHeld = (socket: Socket, held: boolean) => (held ? socket.pause() : socket.resume());
    setHeld(near, isHeld);
    setHeld(far, areAnswersHeld);
  }

  private pass(link: Link, from: Socket, to: Socket): void {
    // One after the other, so that a piece that is delayed is not overtaken by the next, nor by the
    // end of the connection.
    let last: Promise<void> = Promise.resolve();
    const enqueue = (act: () => void) => {
      if (this.fault === LinkFault.Slow) {
        last = last.then(() => wait(SLOW_DELAY));
      }
      last = last.then(act);
    };
    from.on('data', (bytes) => {
      if (!link.isSilent) {
        enqueue(() => to.write(bytes));
      }
    });
    from.on('error', () => undefined);
    from.on('close', (hasFailed) => {
      if (!link.isSilent) {
        this.links.delete(link);
        enqueue(() => (hasFailed ? to.destroy() : to.end()));
      }
    });
  }
}
