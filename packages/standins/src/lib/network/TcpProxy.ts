import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { ChangeSignal } from './ChangeSignal.js';
import { reservePorts } from './reservePorts.js';

/** A fault that the proxy applies to all its connections, existing and new. */
export enum LinkFault {
  None = 'none',
  /** Data is held in both directions until the fault ends, and is then delivered. */
  Held = 'held',
  /**
   * Like a network that is partitioned: data is kept, and delivered when the fault ends unless its sender has
   * reset the connection. Connections that are opened meanwhile never carry anything.
   */
  Partitioned = 'partitioned',
  /** Data from the target is held; data to the target passes. */
  AnswersHeld = 'answers-held',
  /** Every chunk is delayed. */
  Slow = 'slow',
  /** A connection is reset as soon as data arrives on it. */
  ResetOnData = 'reset-on-data',
}

/** The delay of each chunk under {@link LinkFault.Slow}. */
const SLOW_LINK_DELAY_MS = 120;

interface ProxiedConnection {
  client: Socket;
  target: Socket;
  isSilenced: boolean;
  /** What happened in a partition, to be carried out after it. */
  delayed: { from: Socket; act: () => void }[];
}

/**
 * A TCP proxy for fault injection. It can hold, slow down, reset and silence connections. Silenced
 * connections stay open on both sides without passing any data, while new ones work.
 *
 * @public
 */
export class TcpProxy {
  private readonly targetPort: number;

  private readonly server: Server;

  private readonly connections = new Set<ProxiedConnection>();

  private fault = LinkFault.None;

  private connectionCount = 0;

  private readonly connectionOpened = new ChangeSignal();

  private closedCount = 0;

  private readonly connectionClosed = new ChangeSignal();

  private readonly dataKept = new ChangeSignal();

  /** @param targetPort - the loopback port to which connections are forwarded */
  constructor(targetPort: number) {
    this.targetPort = targetPort;
    this.server = createServer({ noDelay: true }, (client) => this.accept(client));
  }

  /**
   * Listens on a reserved port, which nothing else uses while the proxy does not listen.
   *
   * @returns the port on which the proxy listens
   */
  async listen(): Promise<number> {
    const [port] = (await reservePorts(1)) as [number];
    await this.reopen(port);
    return port;
  }

  /** Applies a fault to all connections; `None` ends it, and held data is delivered. */
  setFault(fault: LinkFault): void {
    this.fault = fault;
    this.connections.forEach((connection) => {
      this.applyFault(connection);
      if (fault !== LinkFault.Partitioned) {
        connection.delayed.splice(0).forEach(({ act }) => act());
      }
    });
  }

  /** Silences the connections that are open now: they stay open, and no more data passes. */
  silenceConnections(): void {
    this.connections.forEach((connection) => Object.assign(connection, { isSilenced: true }));
  }

  /** Resets the connections that are open now, as when a peer crashes. */
  resetConnections(): void {
    this.connections.forEach(({ client, target }) => {
      client.resetAndDestroy();
      target.resetAndDestroy();
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

  get isListening(): boolean {
    return this.server.listening;
  }

  /** Stops listening, so that new connections are refused; the open ones live on. */
  stopListening(): void {
    this.server.close();
  }

  /** Listens again on the given port. */
  async reopen(port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', resolve);
    });
  }

  /** Returns how many connections have been opened so far. */
  getConnectionCount(): number {
    return this.connectionCount;
  }

  /** Resolves once that many connections have been opened. */
  waitForConnections(count: number): Promise<void> {
    return this.connectionOpened.waitUntil(() => this.connectionCount >= count);
  }

  /** Resolves once something is kept in a partition. */
  waitForKeptData(): Promise<void> {
    return this.dataKept.waitUntil(() =>
      [...this.connections].some(({ delayed }) => delayed.length > 0),
    );
  }

  /** Resolves once clients have closed or reset that many connections. */
  waitForClosedConnections(count: number): Promise<void> {
    return this.connectionClosed.waitUntil(() => this.closedCount >= count);
  }

  dispose(): void {
    this.server.close();
    this.connections.forEach(({ client, target }) => {
      client.destroy();
      target.destroy();
    });
  }

  private accept(client: Socket): void {
    const target = connect({ port: this.targetPort, host: '127.0.0.1', noDelay: true });
    const isSilenced = this.fault === LinkFault.Partitioned;
    const connection: ProxiedConnection = { client, target, isSilenced, delayed: [] };
    this.connections.add(connection);
    this.connectionCount += 1;
    this.connectionOpened.notify();
    this.forward(connection, client, target);
    this.forward(connection, target, client);
    this.applyFault(connection);
    client.once('close', () => {
      this.closedCount += 1;
      this.connectionClosed.notify();
    });
  }

  private applyFault({ client, target }: ProxiedConnection): void {
    const isHeld = this.fault === LinkFault.Held;
    const areAnswersHeld = isHeld || this.fault === LinkFault.AnswersHeld;
    const setPaused = (socket: Socket, held: boolean) => (held ? socket.pause() : socket.resume());
    setPaused(client, isHeld);
    setPaused(target, areAnswersHeld);
  }

  private forward(connection: ProxiedConnection, from: Socket, to: Socket): void {
    // Chunks are chained so that a delayed one is not overtaken by the next or by the end of the
    // connection.
    let last: Promise<void> = Promise.resolve();
    const enqueue = (act: () => void) => {
      if (this.fault === LinkFault.Partitioned) {
        connection.delayed.push({ from, act: () => enqueue(act) });
        this.dataKept.notify();
        return;
      }
      if (this.fault === LinkFault.Slow) {
        last = last.then(() => wait(SLOW_LINK_DELAY_MS));
      }
      last = last.then(act);
    };
    from.on('data', (bytes) => {
      if (this.fault === LinkFault.ResetOnData) {
        connection.client.resetAndDestroy();
        connection.target.resetAndDestroy();
        return;
      }
      if (!connection.isSilenced) {
        enqueue(() => to.write(bytes));
      }
    });
    let isReset = false;
    from.on('error', ({ code }: NodeJS.ErrnoException) => {
      isReset = code === 'ECONNRESET';
    });
    from.on('close', (hasFailed) => {
      if (connection.isSilenced) {
        return;
      }
      if (hasFailed) {
        // What a sender has reset is not sent again.
        const delayed = connection.delayed.filter((item) => item.from !== from);
        Object.assign(connection, { delayed });
      }
      enqueue(() => {
        this.connections.delete(connection);
        if (isReset) {
          to.resetAndDestroy();
        } else if (hasFailed) {
          to.destroy();
        } else {
          to.end();
        }
      });
    });
  }
}
