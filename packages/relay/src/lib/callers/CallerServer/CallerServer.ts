import {
  CallerConnections,
  createSequentialServer,
  destroyResponse,
  refuseConnection,
  waitForPendingConnections,
} from '@apricotrill/callers';
import type { ConnectionCounts } from '@apricotrill/callers';
import { listenOn } from '@apricotrill/lifecycle';
import type { Clock } from '@apricotrill/utils';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerLimits } from '../../config/RelayConfiguration.js';
import { callerOptions } from '../callerOptions.js';

/** Dependencies of {@link CallerServer}. */
export interface CallerServerParts {
  clock: Clock;
  /** Whether to close a new connection before anything is read from it. */
  shouldRefuse: () => boolean;
  onRequest: (request: IncomingMessage, response: ServerResponse) => void;
  /** Called with the error message when input is not valid HTTP. */
  onMalformed: (reason: string) => void;
  /** Called when a connection is closed because its caller sent too many requests ahead. */
  onExceeded: () => void;
  /** Called when a connection can't be accepted. */
  onError: (error: Error) => void;
}

/** The HTTP server for callers; tracks their connections. */
export class CallerServer {
  private readonly server: Server;

  private readonly openResponses = new Set<ServerResponse>();

  private readonly connections: CallerConnections;

  private isDraining = false;

  constructor(private readonly parts: CallerServerParts) {
    this.server = createSequentialServer({
      server: {
        maxHeaderSize: callerOptions.maxHeadBytes,
        connectionsCheckingInterval: callerOptions.headCheckInterval,
        headersTimeout: callerOptions.headerTimeout,
        keepAliveTimeout: callerOptions.idleTimeout,
        requestTimeout: 0,
      },
      limits: callerOptions.requestsAhead,
      onRequest: (request, response) => this.handleRequest(request, response),
      onExceeded: parts.onExceeded,
    });
    this.server.maxHeadersCount = callerOptions.maxHeadFields;
    this.connections = new CallerConnections({
      clock: parts.clock,
      headersTimeout: callerOptions.headerTimeout,
      firstRequestTimeout: callerOptions.firstRequestTimeout,
      callerStallTimeout: callerOptions.stallTimeout,
    });
    this.server.on('error', (error) => this.handleError(error));
    this.server.on('connection', (socket) => this.handleConnection(socket));
    this.server.on('clientError', (error, socket) =>
      this.handleClientError(socket as Socket, error),
    );
  }

  /** @returns the port, which the operating system chooses if 0 is given */
  listen(host: string, port: number): Promise<number> {
    return listenOn(this.server, host, port);
  }

  /** Whether connections are accepted. */
  get isListening(): boolean {
    return this.server.listening;
  }

  setLimits({ headerTimeout, idleTimeout }: CallerLimits): void {
    this.server.headersTimeout = headerTimeout;
    this.server.keepAliveTimeout = idleTimeout;
  }

  /** Number of responses in flight. */
  get openResponseCount(): number {
    return this.openResponses.size;
  }

  /** Number of connections from callers, with or without a request. */
  get openConnectionCount(): number {
    return this.connections.size;
  }

  /**
   * Closes each connection after its next response. Idle connections stay open until then: closing
   * one while its caller sends the next request would fail that request before it is read. New
   * connections are still accepted, since the load balancer keeps sending them for a while.
   */
  drain(): void {
    this.isDraining = true;
    this.openResponses.forEach((response) => Object.assign(response, { shouldKeepAlive: false }));
  }

  /**
   * Stops accepting connections, and closes those without a request. New connections are given a short
   * time to send their first request.
   *
   * @returns the connections that were open
   */
  async stopListening(): Promise<ConnectionCounts> {
    await waitForPendingConnections();
    this.server.close();
    return this.connections.drain();
  }

  dispose(): void {
    this.server.close();
    this.openResponses.forEach((response) => destroyResponse(response));
    this.server.closeAllConnections();
  }

  /** Errors of an attempt to listen are returned to its caller. */
  private handleError(error: Error): void {
    if (this.isListening) {
      this.parts.onError(error);
    }
  }

  private handleConnection(socket: Socket): void {
    if (this.parts.shouldRefuse()) {
      socket.destroy();
    } else {
      this.connections.add(socket);
    }
  }

  private handleRequest(request: IncomingMessage, response: ServerResponse): void {
    if (this.isDraining) {
      response.shouldKeepAlive = false;
    }
    this.connections.trackRequest(request, response);
    this.openResponses.add(response);
    response.once('close', () => this.openResponses.delete(response));
    this.parts.onRequest(request, response);
  }

  /**
   * Closes a connection with invalid input. If a response is being sent on it, no error response is
   * written, since it would become part of that response.
   */
  private handleClientError(socket: Socket, error: NodeJS.ErrnoException): void {
    this.parts.onMalformed(error.message);
    if (!this.connections.isResponding(socket)) {
      refuseConnection(socket, error);
    }
  }
}
