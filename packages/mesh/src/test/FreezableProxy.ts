import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { EventEmitter, once } from 'node:events';

/**
 * A TCP proxy that can freeze: existing connections then stay open but forward nothing, and new
 * ones work. Emits `dropped` when a frozen connection drops received bytes, and `closed` when a
 * client's connection was closed.
 */
export class FreezableProxy extends EventEmitter {
  private readonly frozenClients = new WeakSet<Socket>();

  private readonly clients = new Set<Socket>();

  // Without a delay of its own: pings are small, and the system holds small writes back for 40 ms.
  private readonly server = createServer({ noDelay: true }, (client) => this.forward(client));

  private target = 0;

  /** Number of connections accepted so far. */
  acceptedConnections = 0;

  async listen(target: number): Promise<number> {
    this.target = target;
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  freeze(): void {
    this.clients.forEach((client) => this.frozenClients.add(client));
  }

  dispose(): void {
    this.clients.forEach((client) => client.destroy());
    this.server.close();
  }

  private forward(client: Socket): void {
    this.acceptedConnections += 1;
    this.clients.add(client);
    const upstream = connect({ port: this.target, host: '127.0.0.1', noDelay: true });
    const forwardTo = (to: Socket) => (bytes: Buffer) => {
      if (this.frozenClients.has(client)) {
        this.emit('dropped');
      } else {
        to.write(bytes);
      }
    };
    client.on('data', forwardTo(upstream));
    upstream.on('data', forwardTo(client));
    client.on('error', () => upstream.destroy());
    upstream.on('error', () => client.destroy());
    client.on('close', () => {
      this.clients.delete(client);
      upstream.destroy();
      this.emit('closed');
    });
  }
}
