import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

interface Link {
  near: Socket;
  far: Socket;
  silent: boolean;
}

/**
 * Stands between two ends of TCP connections, and can lose track of those that are open: they stay
 * open on both sides and nothing passes any more, while new ones work.
 */
export class TcpRelay {
  private readonly target: number;

  private readonly server: Server;

  private readonly links = new Set<Link>();

  private count = 0;

  private watchers: (() => void)[] = [];

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

  /** Loses track of the connections that are open now. */
  silenceConnections(): void {
    this.links.forEach((link) => Object.assign(link, { silent: true }));
  }

  /** How many connections have been opened so far. */
  getCount(): number {
    return this.count;
  }

  /** Resolves once that many connections have been opened. */
  async waitForCount(count: number): Promise<void> {
    while (this.count < count) {
      // eslint-disable-next-line no-await-in-loop
      await new Promise<void>((resolve) => {
        this.watchers.push(resolve);
      });
    }
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
    const link = { near, far, silent: false };
    this.links.add(link);
    this.count += 1;
    this.watchers.splice(0).forEach((watcher) => watcher());
    this.pass(link, near, far);
    this.pass(link, far, near);
  }

  private pass(link: Link, from: Socket, to: Socket): void {
    from.on('data', (bytes) => {
      if (!link.silent) {
        to.write(bytes);
      }
    });
    const end = () => {
      if (!link.silent) {
        this.links.delete(link);
        to.destroy();
      }
    };
    from.on('error', end);
    from.on('close', end);
  }
}
