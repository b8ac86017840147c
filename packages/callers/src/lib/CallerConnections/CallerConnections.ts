import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/**
 * How long callers' connections are waited for.
 *
 * @public
 */
export interface CallerConnectionOptions {
  clock: Clock;
  /** How long a request that has begun may take to be whole when draining. */
  headersTimeout: Milliseconds;
  /** How long after it was opened a connection may wait for its first request when draining. */
  firstRequest: Milliseconds;
  /** How long a caller may take nothing of its answer before it counts as gone. */
  callerStall: Milliseconds;
}

/** What is known of one caller's connection. */
interface Connection {
  /** Requests whose answers are not over. */
  inFlight: Set<IncomingMessage>;
  /** What had been read when the last request was over: more means that another has begun. */
  readAtRest: number;
  openedAt: Milliseconds;
  /** Requests that have begun on it. */
  requests: number;
  timer: Timer | undefined;
}

/**
 * What a shutdown found when it closed the port. A caller whose connection is ended before its
 * request was read sees a reset; whether that can have been one of these is told by their ages.
 *
 * @public
 */
export interface ConnectionCounts {
  /** Connections that carried a request. */
  busy: number;
  /** Connections on which a request has begun to arrive. */
  arriving: number;
  /** Connections that rested after a request, and were ended. */
  resting: number;
  /** Connections that never sent a byte; those just opened get a moment for it. */
  unused: number;
  /** How long the youngest unused one had been open. */
  youngestUnused: Milliseconds | undefined;
}

/**
 * Owns the connections of callers: knows which carry a request, and ends those that don't when the
 * daemon shuts down.
 *
 * The HTTP server ends idle connections itself, but takes one that never sent anything, or was
 * opened again by the caller's library in advance, for busy: one such connection would hold the
 * shutdown for good.
 *
 * @public
 */
export class CallerConnections {
  private readonly connections = new Map<Socket, Connection>();

  private readonly clock: Clock;

  private readonly options: CallerConnectionOptions;

  private draining = false;

  constructor(options: CallerConnectionOptions) {
    this.clock = options.clock;
    this.options = options;
  }

  /** Connections that are open. */
  get size(): number {
    return this.connections.size;
  }

  /** A caller has connected. */
  add(socket: Socket): void {
    const connection: Connection = {
      inFlight: new Set(),
      readAtRest: socket.bytesRead,
      openedAt: this.clock.now(),
      requests: 0,
      timer: undefined,
    };
    this.connections.set(socket, connection);
    socket.once('close', () => {
      connection.timer?.cancel();
      this.connections.delete(socket);
    });
    if (this.draining) {
      this.endIfIdle(socket, connection);
    }
  }

  /** A request has begun: its connection lasts until its answer is over. */
  trackRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const connection = this.connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.inFlight.add(request);
    connection.requests += 1;
    connection.timer?.cancel();
    connection.timer = undefined;
    this.boundTail(response);
    response.once('close', () => {
      connection.inFlight.delete(request);
      connection.readAtRest = socket.bytesRead;
      if (this.draining) {
        this.endIfIdle(socket, connection);
      }
    });
  }

  /** Whether a request that has been read whole is being answered on the connection. */
  isResponding(socket: Socket): boolean {
    const inFlight = this.connections.get(socket)?.inFlight ?? [];
    return [...inFlight].some(({ complete }) => complete);
  }

  /**
   * From now on each connection ends as soon as it carries no request.
   *
   * @returns what was open
   */
  drain(): ConnectionCounts {
    this.draining = true;
    const census = this.getCensus();
    this.connections.forEach((connection, socket) => this.endIfIdle(socket, connection));
    return census;
  }

  private getCensus(): ConnectionCounts {
    const open = [...this.connections];
    const idle = open.filter(([, { inFlight }]) => inFlight.size === 0);
    const quiet = idle.filter(([socket, { readAtRest }]) => socket.bytesRead === readAtRest);
    const unused = quiet.filter(([, { requests }]) => requests === 0);
    const now = this.clock.now();
    const ages = unused.map(([, { openedAt }]) => now - openedAt);
    return {
      busy: open.length - idle.length,
      arriving: idle.length - quiet.length,
      resting: quiet.length - unused.length,
      unused: unused.length,
      youngestUnused: ages.length === 0 ? undefined : Math.min(...ages),
    };
  }

  private endIfIdle(socket: Socket, connection: Connection): void {
    if (connection.inFlight.size > 0) {
      return;
    }
    connection.timer?.cancel();
    if (socket.bytesRead !== connection.readAtRest) {
      // A caller is in the middle of sending a request: it gets its answer, if it comes to it.
      this.setTimer(connection, this.options.headersTimeout, () => socket.destroy());
      return;
    }
    const wait = this.getFirstRequestWait(connection);
    if (wait > 0) {
      this.setTimer(connection, wait, () => this.endIfIdle(socket, connection));
    } else {
      socket.destroySoon();
    }
  }

  /**
   * What is left of the wait for a connection's first request. Callers that are asked to close open
   * a connection for each call; ended before its request is read, the call is lost with a reset, though
   * its daemon had accepted the connection. A caller sends right after it connects, so the wait is
   * short, and bounded: one that was opened in advance must not hold the shutdown.
   */
  private getFirstRequestWait({ openedAt, requests }: Connection): Milliseconds {
    return requests > 0 ? 0 : openedAt + this.options.firstRequest - this.clock.now();
  }

  private setTimer(connection: Connection, span: Milliseconds, act: () => void): void {
    Object.assign(connection, { timer: this.clock.setTimer(span, act) });
  }

  /** The last bytes of an answer that its caller never reads must not hold the process for good. */
  private boundTail(response: ServerResponse): void {
    response.once('prefinish', () => {
      const timer = this.clock.setTimer(this.options.callerStall, () => response.destroy());
      response.once('close', () => timer.cancel());
    });
  }
}
