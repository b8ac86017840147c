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

/** A request with the parts of its URL that polka's routing extracted. */
export interface RoutedRequest extends IncomingMessage {
  path: string;
  params: Record<string, string>;
  query: Record<string, string | string[]>;
}

/** Serves one request; a thrown {@link BadRequestError} is answered with 400. */
export type RequestHandler = (
  request: RoutedRequest,
  response: ServerResponse,
) => Promise<void> | void;

type Method = 'GET' | 'PUT' | 'POST' | 'DELETE';

function sendError(error: unknown, response: ServerResponse): void {
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

  private readonly silencedSockets = new WeakSet<Socket>();

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
      StandinServer.runHandler(handler, request, response);
    }) as unknown as polka.Middleware);
  }

  /** Sets the handler of the requests that match no route. */
  setFallbackHandler(handler: RequestHandler): void {
    const fallback = (request: RoutedRequest, response: ServerResponse) =>
      StandinServer.runHandler(handler, request, response);
    (this.app as unknown as { onNoMatch: typeof fallback }).onNoMatch = fallback;
  }

  async listen(): Promise<ListenAddress> {
    const { host, port } = this.address;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return { host, port: (this.server.address() as AddressInfo).port };
  }

  /** Breaks every open connection; new ones are accepted. */
  breakConnections(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  /**
   * Silences the connections that are open now permanently: nothing more is sent on them, and
   * incoming data is ignored. New ones work, as when a middlebox has lost its connection state.
   */
  silenceConnections(): void {
    this.sockets.forEach((socket) => {
      this.silencedSockets.add(socket);
      // Otherwise an idle connection would be closed properly, and its client would notice.
      socket.setTimeout(0);
      // Corking the socket is not enough, since the end of a response uncorks it.
      Object.assign(socket, { write: () => true, end: () => socket });
    });
  }

  isSilenced(socket: Socket): boolean {
    return this.silencedSockets.has(socket);
  }

  /** Stops immediately: breaks every connection and frees the port. */
  async dispose(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.breakConnections();
    await closed;
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    if (!this.isSilenced(request.socket)) {
      this.app.handler(request as unknown as polka.Request, response);
    }
  }

  private static async runHandler(
    handler: RequestHandler,
    request: RoutedRequest,
    response: ServerResponse,
  ): Promise<void> {
    try {
      await handler(request, response);
    } catch (error) {
      sendError(error, response);
    }
  }
}
