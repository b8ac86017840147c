import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import polka from 'polka';
import { BadRequestError, PayloadTooLargeError } from './requestErrors.js';
import { sendJson } from './sendJson.js';

/**
 * Where a stand-in listens.
 *
 * @public
 */
export interface ListenAddress {
  host: string;
  port: number;
}

/** A request with what polka's routing found in its URL. */
export interface RoutedRequest extends IncomingMessage {
  path: string;
  params: Record<string, string>;
  query: Record<string, string | string[]>;
}

/** Serves one request; a thrown {@link BadRequestError} becomes a 400. */
export type RequestHandler = (
  request: RoutedRequest,
  response: ServerResponse,
) => Promise<void> | void;

type Method = 'GET' | 'PUT' | 'POST' | 'DELETE';

function answerError(error: unknown, response: ServerResponse): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
  } else if (error instanceof BadRequestError) {
    sendJson(response, 400, { error: error.message });
  } else if (error instanceof PayloadTooLargeError) {
    sendJson(response, 413, { error: error.message });
  } else {
    sendJson(response, 500, { error: String(error) });
  }
}

/** An HTTP server whose open connections can be broken or silenced, on a loopback address. */
export class StandinServer {
  private readonly app = polka();

  private readonly server: Server = createServer((request, response) => {
    this.serve(request, response);
  });

  private readonly sockets = new Set<Socket>();

  private readonly silent = new WeakSet<Socket>();

  constructor(private readonly address: ListenAddress) {
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('error', () => socket.destroy());
    });
  }

  /** Adds a route; patterns are polka's, e.g. `/instances/:id` and `/objects/*`. */
  route(method: Method, pattern: string, handler: RequestHandler): void {
    this.app.add(method, pattern, ((request: RoutedRequest, response: ServerResponse) => {
      StandinServer.run(handler, request, response);
    }) as unknown as polka.Middleware);
  }

  /** Sets the handler of every request that no route takes. */
  routeRest(handler: RequestHandler): void {
    const rest = (request: RoutedRequest, response: ServerResponse) =>
      StandinServer.run(handler, request, response);
    (this.app as unknown as { onNoMatch: typeof rest }).onNoMatch = rest;
  }

  async listen(): Promise<ListenAddress> {
    const { host, port } = this.address;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return { host, port: (this.server.address() as AddressInfo).port };
  }

  /** Breaks every open connection; new ones are taken. */
  breakConnections(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  /**
   * Makes the connections open now silent for good: nothing more is sent on them, and what comes
   * on them is not looked at. New ones work, as when something between the two ends has lost track.
   */
  silenceConnections(): void {
    this.sockets.forEach((socket) => {
      this.silent.add(socket);
      // Otherwise an idle connection would be closed in order, and its client would notice.
      socket.setTimeout(0);
      // Corking it would not do: the end of an answer undoes that.
      Object.assign(socket, { write: () => true, end: () => socket });
    });
  }

  isSilent(socket: Socket): boolean {
    return this.silent.has(socket);
  }

  /** Stops at once: breaks every connection and frees the port. */
  async dispose(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.breakConnections();
    await closed;
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    if (!this.isSilent(request.socket)) {
      this.app.handler(request as unknown as polka.Request, response);
    }
  }

  private static async run(
    handler: RequestHandler,
    request: RoutedRequest,
    response: ServerResponse,
  ): Promise<void> {
    try {
      await handler(request, response);
    } catch (error) {
      answerError(error, response);
    }
  }
}
