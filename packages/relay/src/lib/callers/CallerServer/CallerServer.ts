import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { CallerLimits } from '../../config/RelayConfiguration.js';
import { callerOptions } from '../callerOptions.js';
import { refuseConnection } from '../refuseConnection.js';

/** What a caller's server needs. */
export interface CallerServerParts {
  onRequest: (request: IncomingMessage, response: ServerResponse) => void;
  /** Bytes came that are no request. */
  onMalformed: (reason: string) => void;
}

/** Owns the port for callers and their connections. */
export class CallerServer {
  private readonly server: Server;

  private readonly open = new Set<ServerResponse>();

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
    this.server.on('clientError', (error, socket) => {
      parts.onMalformed(error.message);
      refuseConnection(socket as Socket, error);
    });
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

  /**
   * From now on each connection ends with the answer it carries, and those that carry none end at
   * once. New ones are still taken: the balancer goes on sending them for a while.
   */
  drain(): void {
    this.isDraining = true;
    this.open.forEach((response) => Object.assign(response, { shouldKeepAlive: false }));
    this.server.closeIdleConnections();
  }

  /** Takes no new connections. */
  stopListening(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    if (this.isDraining) {
      response.shouldKeepAlive = false;
    }
    this.open.add(response);
    response.once('close', () => this.open.delete(response));
    this.parts.onRequest(request, response);
  }
}
