import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { destroyResponse } from '../abortResponse.js';

/**
 * Timeouts for callers' connections.
 *
 * @public
 */
export interface CallerConnectionOptions {
  clock: Clock;
  /** While draining, how long a request that has begun to arrive may take to complete. */
  headersTimeout: Milliseconds;
  /** While draining, how long after it was opened a connection may wait for its first request. */
  firstRequestTimeout: Milliseconds;
  /** How long a caller may read nothing of its response before it is considered gone. */
  callerStallTimeout: Milliseconds;
}

/** The state of one caller's connection. */
interface Connection {
  /** Requests whose responses are not complete. */
  inFlight: Set<IncomingMessage>;
  /**
   * Bytes read when the last request was complete. If more bytes have been read since, another
   * request has begun to arrive.
   */
  bytesReadWhenIdle: number;
  openedAt: Milliseconds;
  /** Number of requests received on the connection. */
  requestCount: number;
  timer: Timer | undefined;
}

/**
 * The connections that were open when a shutdown closed the port. A caller sees a reset if its
 * connection is closed before its request was read; the ages of unused connections tell whether
 * this may have happened to one of them.
 *
 * @public
 */
export interface ConnectionCounts {
  /** Connections with a request in flight. */
  busy: number;
  /** Connections on which a request has begun to arrive. */
  arriving: number;
  /** Connections that were idle after a request, and were closed. */
  resting: number;
  /**
   * Connections on which no byte has arrived; new ones get a short time for their first request.
   */
  unused: number;
  /** Age of the youngest unused connection. */
  youngestUnused: Milliseconds | undefined;
}

/**
 * Tracks the connections of callers, and closes those without a request in flight when the daemon
 * shuts down.
 *
 * The HTTP server closes idle connections itself, but treats a connection as busy if it never
 * carried a request or was reopened in advance by the caller's HTTP library. One such connection
 * would block the shutdown forever.
 *
 * @public
 */
export class CallerConnections {
  private readonly connections = new Map<Socket, Connection>();

  private readonly clock: Clock;

  private readonly options: CallerConnectionOptions;

  private isDraining = false;

  constructor(options: CallerConnectionOptions) {
    this.clock = options.clock;
    this.options = options;
  }

  /** Number of open connections. */
  get size(): number {
    return this.connections.size;
  }

  /** Starts tracking a new connection. */
  add(socket: Socket): void {
    const connection: Connection = {
      inFlight: new Set(),
      bytesReadWhenIdle: socket.bytesRead,
      openedAt: this.clock.now(),
      requestCount: 0,
      timer: undefined,
    };
    this.connections.set(socket, connection);
    socket.once('close', () => {
      connection.timer?.cancel();
      this.connections.delete(socket);
    });
    if (this.isDraining) {
      this.closeIfIdle(socket, connection);
    }
  }

  /** Keeps the request's connection open until the response is complete. */
  trackRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const connection = this.connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.inFlight.add(request);
    connection.requestCount += 1;
    connection.timer?.cancel();
    connection.timer = undefined;
    this.limitFinalWrite(response);
    response.once('close', () => {
      connection.inFlight.delete(request);
      connection.bytesReadWhenIdle = socket.bytesRead;
      if (this.isDraining) {
        this.closeIfIdle(socket, connection);
      }
    });
  }

  /** Whether a response to a completely received request is in progress on the connection. */
  isResponding(socket: Socket): boolean {
    const inFlight = this.connections.get(socket)?.inFlight ?? [];
    return [...inFlight].some(({ complete }) => complete);
  }

  /**
   * From now on, closes each connection as soon as it has no request in flight.
   *
   * @returns the connections that were open
   */
  drain(): ConnectionCounts {
    this.isDraining = true;
    const counts = this.getCounts();
    this.connections.forEach((connection, socket) => this.closeIfIdle(socket, connection));
    return counts;
  }

  private getCounts(): ConnectionCounts {
    const all = [...this.connections];
    const idle = all.filter(([, { inFlight }]) => inFlight.size === 0);
    const inactive = idle.filter(
      ([socket, { bytesReadWhenIdle }]) => socket.bytesRead === bytesReadWhenIdle,
    );
    const unused = inactive.filter(([, { requestCount }]) => requestCount === 0);
    const now = this.clock.now();
    const ages = unused.map(([, { openedAt }]) => now - openedAt);
    return {
      busy: all.length - idle.length,
      arriving: idle.length - inactive.length,
      resting: inactive.length - unused.length,
      unused: unused.length,
      youngestUnused: ages.length === 0 ? undefined : Math.min(...ages),
    };
  }

  private closeIfIdle(socket: Socket, connection: Connection): void {
    if (connection.inFlight.size > 0) {
      return;
    }
    connection.timer?.cancel();
    if (socket.bytesRead !== connection.bytesReadWhenIdle) {
      // A caller is sending a request. It gets a response if the request completes in time.
      this.setTimer(connection, this.options.headersTimeout, () => socket.destroy());
      return;
    }
    const remainingWait = this.getRemainingFirstRequestWait(connection);
    if (remainingWait > 0) {
      this.setTimer(connection, remainingWait, () => this.closeIfIdle(socket, connection));
    } else {
      socket.destroySoon();
    }
  }

  /**
   * Returns the remaining time to wait for a connection's first request. Callers that were asked to
   * close their connections open one for each call. If it is closed before its request was read,
   * the call fails with a reset although the daemon had accepted the connection. Callers send right
   * after they connect, so the wait can be short. It is limited because a connection that was
   * opened in advance must not block the shutdown.
   */
  private getRemainingFirstRequestWait({ openedAt, requestCount }: Connection): Milliseconds {
    return requestCount > 0 ? 0 : openedAt + this.options.firstRequestTimeout - this.clock.now();
  }

  private setTimer(connection: Connection, duration: Milliseconds, callback: () => void): void {
    Object.assign(connection, { timer: this.clock.setTimer(duration, callback) });
  }

  /**
   * Breaks off a response whose last bytes the caller never reads, so that it cannot block a
   * shutdown.
   */
  private limitFinalWrite(response: ServerResponse): void {
    response.once('prefinish', () => {
      const timer = this.clock.setTimer(this.options.callerStallTimeout, () =>
        destroyResponse(response),
      );
      response.once('close', () => timer.cancel());
    });
  }
}
