import type { Socket } from 'node:net';
import { ConnectionUnusedError, ReadGate } from '@apricotrill/utils';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import { Client } from 'undici';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import { connectInTime } from '../connectInTime.js';
import { upstreamOptions } from '../upstreamOptions.js';

/** A connection to a replica, which carries one request at a time. */
export interface UpstreamConnection {
  readonly client: Client;
  isBusy: boolean;
  /** Whether it has been opened and not yet closed. */
  isOpen: boolean;
  /** When it was opened last. */
  openedAt: Milliseconds;
  /** Undefined until it is open for the first time. */
  socket: Socket | undefined;
  /** Stops and continues the reading of the socket. */
  gate: ReadGate | undefined;
  /** Called when bytes have been received and the client has read them, unless it is paused. */
  onRead: (() => void) | undefined;
  /** Why it failed; undefined while it is open and after a normal close. */
  error: Error | undefined;
}

/** Disables the client's own timeouts and pipelining; the daemon decides on timeouts and retries. */
const CLIENT_OPTIONS = {
  headersTimeout: 0,
  bodyTimeout: 0,
  pipelining: 1,
  keepAliveTimeout: upstreamOptions.idleTimeout,
  keepAliveTimeoutThreshold: upstreamOptions.idleTimeoutMargin,
};

/**
 * Records on the socket itself whether a connection was reset. The client treats a reset as the end of a
 * response without a length. If the last bytes and the reset are processed together, even the socket
 * reports a normal end, and a response truncated by a crash would appear complete. However, a socket
 * that was reset has no remote address, while one that was closed by its peer still has.
 */
function recordSocketErrors(socket: Socket, connection: UpstreamConnection): void {
  socket.once('error', (error: Error) => {
    Object.assign(connection, { error });
  });
  socket.once('end', () => {
    if (socket.remoteAddress === undefined) {
      Object.assign(connection, { error: new Error('connection was reset') });
    }
  });
}

/** What connections are opened to: a replica or another daemon. */
export interface ConnectionTarget {
  id: string;
  /** IP address and port. */
  address: string;
}

/** Receives the results of opening connections. */
export interface ConnectionListener<Target = RelayReplica> {
  onOpened(target: Target): void;
  onFailed(target: Target, error: Error): void;
}

const connect = connectInTime(upstreamOptions.connectTimeout);

/**
 * Pools the connections to all replicas, or to all other daemons. The most recently used connection is reused first, so that the
 * others stay idle and eventually close: opening a connection is expensive, and a replica's connections
 * are limited across all daemons.
 */
export class UpstreamConnections<Target extends ConnectionTarget = RelayReplica> {
  private readonly byTarget = new Map<string, UpstreamConnection[]>();

  constructor(
    private readonly listener: ConnectionListener<Target>,
    private readonly clock: Clock,
  ) {}

  /** Returns an idle or new connection, reserved until it is released. */
  acquire(target: Target): UpstreamConnection {
    const idle = this.byTarget.get(target.id)?.findLast(({ isBusy, isOpen }) => !isBusy && isOpen);
    const connection = idle ?? this.create(target);
    connection.isBusy = true;
    return connection;
  }

  /**
   * Releases a connection after its request. It becomes idle only after data received together with
   * the last bytes of the response has been processed: a second response closes the connection, and
   * must not be matched to the next request.
   */
  release(target: Target, connection: UpstreamConnection): void {
    setImmediate(() => this.markIdle(target, connection));
  }

  /** Whether there is an open connection that carries no request. */
  hasIdle(id: string): boolean {
    return this.byTarget.get(id)?.some(({ isBusy, isOpen }) => !isBusy && isOpen) ?? false;
  }

  /** Whether a connection is open, and is read so that its end would be noticed, that was opened before a point in time. */
  hasOpenSince(id: string, time: Milliseconds): boolean {
    const connections = this.byTarget.get(id) ?? [];
    return connections.some(
      ({ isOpen, gate, openedAt }) => isOpen && gate?.isClosed === false && openedAt < time,
    );
  }

  /** Closes idle connections to targets that are not in the set; requests in flight continue. */
  retain(ids: ReadonlySet<string>): void {
    this.byTarget.forEach((connections, id) => {
      if (!ids.has(id)) {
        connections
          .filter(({ isBusy }) => !isBusy)
          .forEach((connection) => this.removeById(id, connection));
      }
    });
  }

  /**
   * Closes idle connections to a replica that did not respond to a request: a network device in between
   * may have lost the state of all of them, and the next request would not get a response either.
   */
  closeIdle(id: string): void {
    (this.byTarget.get(id) ?? [])
      .filter(({ isBusy }) => !isBusy)
      .forEach((connection) => this.removeById(id, connection));
  }

  get size(): number {
    let size = 0;
    this.byTarget.forEach((connections) => {
      size += connections.length;
    });
    return size;
  }

  async dispose(): Promise<void> {
    [...this.byTarget.keys()].forEach((id) => this.closeIdle(id));
    const busy = [...this.byTarget.values()].flat();
    this.byTarget.clear();
    await Promise.allSettled(busy.map(({ client }) => client.destroy()));
  }

  private markIdle(target: Target, connection: UpstreamConnection): void {
    Object.assign(connection, { isBusy: false });
    const connections = this.byTarget.get(target.id) ?? [];
    if (!connection.isOpen) {
      this.remove(target, connection);
      return;
    }
    // The most recently used connection is last.
    connections.splice(connections.indexOf(connection), 1);
    connections.push(connection);
  }

  private create(target: Target): UpstreamConnection {
    let connection: UpstreamConnection | undefined;
    const client = new Client(`http://${target.address}`, {
      ...CLIENT_OPTIONS,
      connect: (options, callback) => {
        connect(options, (error, socket) => {
          if (error !== null || !socket) {
            const failure = error ?? new Error('connection failed');
            this.listener.onFailed(target, failure);
            callback(failure, null);
            return;
          }
          // Errors of an earlier socket do not apply to this one.
          Object.assign(connection!, { error: undefined, socket, gate: new ReadGate(socket) });
          recordSocketErrors(socket, connection!);
          callback(null, socket);
        });
      },
    });
    connection = {
      client,
      isBusy: false,
      isOpen: false,
      openedAt: 0,
      socket: undefined,
      gate: undefined,
      onRead: undefined,
      error: undefined,
    };
    this.trackState(target, connection);
    const connections = this.byTarget.get(target.id) ?? [];
    this.byTarget.set(target.id, connections);
    connections.push(connection);
    return connection;
  }

  private trackState(target: Target, connection: UpstreamConnection): void {
    connection.client.on('connect', () => {
      Object.assign(connection, { isOpen: true, openedAt: this.clock.now() });
      // The client's own listener comes first.
      connection.socket?.on('readable', () => connection.onRead?.());
      this.listener.onOpened(target);
    });
    connection.client.on('disconnect', () => {
      Object.assign(connection, { isOpen: false });
      if (!connection.isBusy) {
        this.remove(target, connection);
      }
    });
  }

  private remove(target: Target, connection: UpstreamConnection): void {
    this.removeById(target.id, connection);
  }

  private removeById(id: string, connection: UpstreamConnection): void {
    const connections = this.byTarget.get(id);
    const index = connections?.indexOf(connection) ?? -1;
    if (connections === undefined || index === -1) {
      return;
    }
    connections.splice(index, 1);
    if (connections.length === 0) {
      this.byTarget.delete(id);
    }
    // Closes immediately and in order, since no request is in flight.
    connection.client.destroy(new ConnectionUnusedError()).catch(() => undefined);
  }
}
