import type { Socket } from 'node:net';
import { Client, buildConnector } from 'undici';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import { upstreamOptions } from '../upstreamOptions.js';

/** One connection to one replica; it carries one request at a time. */
export interface UpstreamConnection {
  readonly client: Client;
  isBusy: boolean;
  /** It was opened and has not been closed. */
  isOpen: boolean;
  /** Why it broke; undefined while it is open, and after an end in good order. */
  error: Error | undefined;
}

/** Nothing of the client's own may repeat a request or time it out: those decisions are ours. */
const CLIENT_OPTIONS = {
  headersTimeout: 0,
  bodyTimeout: 0,
  pipelining: 1,
  keepAliveTimeout: upstreamOptions.idleTimeout,
  keepAliveTimeoutThreshold: upstreamOptions.idleMargin,
};

/**
 * Learns from the socket itself how a connection ended. The client takes a reset for the end of an
 * answer without length, and where the last bytes and the reset are noticed together even the
 * socket reports an end in good order; what a crash cut short would pass for whole. But a
 * connection that was reset has no peer any more, while one that its peer closed still has.
 */
function noteBreak(socket: Socket, connection: UpstreamConnection): void {
  socket.once('error', (cause: Error) => {
    Object.assign(connection, { error: cause });
  });
  socket.once('end', () => {
    if (socket.remoteAddress === undefined) {
      Object.assign(connection, { error: new Error('the connection was reset') });
    }
  });
}

const connect = buildConnector({ timeout: upstreamOptions.connectTimeout });

/**
 * Owns the connections to every replica. The one that was used last is used first, so that the
 * others can rest until they close: a new connection is dear, and each one a replica holds is one
 * less for the other daemons.
 */
export class UpstreamConnections {
  private readonly byReplica = new Map<string, UpstreamConnection[]>();

  private readonly onOpened: (replica: RelayReplica) => void;

  /** @param onOpened - told of each connection that is opened */
  constructor(onOpened: (replica: RelayReplica) => void) {
    this.onOpened = onOpened;
  }

  /** A connection that carries nothing; it stays the caller's until it is given back. */
  take(replica: RelayReplica): UpstreamConnection {
    const resting = this.byReplica
      .get(replica.id)
      ?.findLast(({ isBusy, isOpen }) => !isBusy && isOpen);
    const connection = resting ?? this.create(replica);
    connection.isBusy = true;
    return connection;
  }

  /**
   * Gives a connection back after its request. It is free only once what came with the answer's last
   * bytes has been looked at: a second answer there ends the connection, and must not meet the next
   * request on it.
   */
  giveBack(replica: RelayReplica, connection: UpstreamConnection): void {
    setImmediate(() => this.free(replica, connection));
  }

  /** Closes what rests of replicas that are gone; what is under way there goes on. */
  retain(ids: ReadonlySet<string>): void {
    this.byReplica.forEach((connections, id) => {
      if (!ids.has(id)) {
        connections
          .filter(({ isBusy }) => !isBusy)
          .forEach((connection) => this.dropById(id, connection));
      }
    });
  }

  /**
   * Closes what rests of a replica on which a request went unanswered: what lies between may have
   * lost track of all of them at once, and the next request would go unanswered too.
   */
  closeResting({ id }: RelayReplica): void {
    (this.byReplica.get(id) ?? [])
      .filter(({ isBusy }) => !isBusy)
      .forEach((connection) => this.dropById(id, connection));
  }

  get size(): number {
    let size = 0;
    this.byReplica.forEach((connections) => {
      size += connections.length;
    });
    return size;
  }

  async dispose(): Promise<void> {
    const all = [...this.byReplica.values()].flat();
    this.byReplica.clear();
    await Promise.allSettled(all.map(({ client }) => client.destroy()));
  }

  private free(replica: RelayReplica, connection: UpstreamConnection): void {
    Object.assign(connection, { isBusy: false });
    const connections = this.byReplica.get(replica.id) ?? [];
    if (!connection.isOpen) {
      this.drop(replica, connection);
      return;
    }
    // The last one used is found first.
    connections.splice(connections.indexOf(connection), 1);
    connections.push(connection);
  }

  private create(replica: RelayReplica): UpstreamConnection {
    let connection: UpstreamConnection | undefined;
    const client = new Client(`http://${replica.address}`, {
      ...CLIENT_OPTIONS,
      connect: (options, callback) => {
        connect(options, (error, socket) => {
          if (error !== null || !socket) {
            callback(error ?? new Error('no connection'), null);
            return;
          }
          // What broke an earlier socket says nothing of this one.
          connection!.error = undefined;
          noteBreak(socket, connection!);
          callback(null, socket);
        });
      },
    });
    connection = { client, isBusy: false, isOpen: false, error: undefined };
    this.follow(replica, connection);
    const connections = this.byReplica.get(replica.id) ?? [];
    this.byReplica.set(replica.id, connections);
    connections.push(connection);
    return connection;
  }

  private follow(replica: RelayReplica, connection: UpstreamConnection): void {
    connection.client.on('connect', () => {
      Object.assign(connection, { isOpen: true });
      this.onOpened(replica);
    });
    connection.client.on('disconnect', () => {
      Object.assign(connection, { isOpen: false });
      if (!connection.isBusy) {
        this.drop(replica, connection);
      }
    });
  }

  private drop(replica: RelayReplica, connection: UpstreamConnection): void {
    this.dropById(replica.id, connection);
  }

  private dropById(id: string, connection: UpstreamConnection): void {
    const connections = this.byReplica.get(id);
    const index = connections?.indexOf(connection) ?? -1;
    if (connections === undefined || index === -1) {
      return;
    }
    connections.splice(index, 1);
    if (connections.length === 0) {
      this.byReplica.delete(id);
    }
    // Ends at once: nothing is under way on it.
    connection.client.destroy().catch(() => undefined);
  }
}
