import { CallerConnections, refuseConnection, waitForAccepted } from '@apricotrill/callers';
import type { ConnectionCounts } from '@apricotrill/callers';
import type { Clock } from '@apricotrill/utils';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { CallerLimits } from '../../config/RelayConfiguration.js';
import { callerOptions } from '../callerOptions.js';

/** What a caller's server needs. */
export interface CallerServerParts {
  clock: Clock;
  onRequest: (request: IncomingMessage, response: ServerResponse) => void;
  /** Bytes came that are no request. */
  onMalformed: (reason: string) => void;
}

/** Owns the port for callers and their connections. */
export class CallerServer {
  private readonly server: Server;

  private readonly open = new Set<ServerResponse>();

  private readonly connections: CallerConnections;

  private isDraining = false;

  constructor(private readonly parts: CallerServerParts) {
    this.server = createServer(
      {
        maxHeaderSize: callerOptions.largestHeadBytes,
        connectionsCheckingInterval: callerOptions.overdueCheck,
        headersTimeout: callerOptions.headerTimeout,
        keepAliveTimeout: callerOptions.idleTimeout,
        requestTimeout: 0,
      },
      (request, response) => this.take(request, response),
    );
    this.connections = new CallerConnections({
      clock: parts.clock,
      headersTimeout: callerOptions.headerTimeout,
      firstRequest: callerOptions.firstRequest,
      callerStall: callerOptions.callerStall,
    });
    this.server.on('connection', (socket) => this.connections.add(socket));
    this.server.on('clientError', (error, socket) => this.refuse(socket as Socket, error));
  }

  /** @returns the port, for when the machine chose it */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve((this.server.address() as AddressInfo).port));
    });
  }

  setLimits({ headerTimeout, idleTimeout }: CallerLimits): void {
    this.server.headersTimeout = headerTimeout;
    this.server.keepAliveTimeout = idleTimeout;
  }

  /** Answers that are not over. */
  get openAnswers(): number {
    return this.open.size;
  }

  /** Connections of callers, with a request or without. */
  get openConnections(): number {
    return this.connections.size;
  }

  /**
   * From now on each connection ends with the answer it carries, also those that rest: closed while
   * its caller is sending the next request, a connection fails that request before it was read. New
   * ones are still taken: the balancer goes on sending them for a while.
   */
  drain(): void {
    this.isDraining = true;
    this.open.forEach((response) => Object.assign(response, { shouldKeepAlive: false }));
  }

  /**
   * Takes no new connections, and ends those that carry no request; just opened ones get a moment for
   * their first.
   *
   * @returns what was open
   */
  async stopListening(): Promise<ConnectionCounts> {
    await waitForAccepted();
    this.server.close();
    return this.connections.drain();
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    if (this.isDraining) {
      response.shouldKeepAlive = false;
    }
    this.connections.trackRequest(request, response);
    this.open.add(response);
    response.once('close', () => this.open.delete(response));
    this.parts.onRequest(request, response);
  }

  /**
   * Bytes that are not HTTP end their own connection only. Where they follow a request that is being
   * answered, they must not become part of its answer.
   */
  private refuse(socket: Socket, error: NodeJS.ErrnoException): void {
    this.parts.onMalformed(error.message);
    if (!this.connections.isResponding(socket)) {
      refuseConnection(socket, error);
    }
  }
}
