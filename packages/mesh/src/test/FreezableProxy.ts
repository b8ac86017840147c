import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { EventEmitter, once } from 'node:events';

/**
 * A TCP relay that can freeze: connections opened before stay open and pass nothing on, new ones
 * work. Emits `swallowed` when a frozen connection takes bytes from a client.
 */
export class FreezingRelay extends EventEmitter {
  private readonly frozen = new WeakSet<Socket>();

  private readonly clients = new Set<Socket>();

  private readonly server = createServer((client) => this.relay(client));

  private target = 0;

  /** Connections taken so far. */
  accepted = 0;

  async listen(target: number): Promise<number> {
    this.target = target;
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  freeze(): void {
    this.clients.forEach((client) => this.frozen.add(client));
  }

  dispose(): void {
    this.clients.forEach((client) => client.destroy());
    this.server.close();
  }

  private relay(client: Socket): void {
    this.accepted += 1;
    this.clients.add(client);
    const upstream = connect(this.target, '127.0.0.1');
    const pass = (to: Socket) => (bytes: Buffer) => {
      if (this.frozen.has(client)) {
        this.emit('swallowed');
      } else {
        to.write(bytes);
      }
    };
    client.on('data', pass(upstream));
    upstream.on('data', pass(client));
    client.on('error', () => upstream.destroy());
    upstream.on('error', () => client.destroy());
    client.on('close', () => {
      this.clients.delete(client);
      upstream.destroy();
      this.emit('closed');
    });
  }
}
