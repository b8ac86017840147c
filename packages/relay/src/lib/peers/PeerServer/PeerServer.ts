import { createSequentialServer } from '@apricotrill/callers';
import { guardHandler, listenOn } from '@apricotrill/lifecycle';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import { callerOptions } from '../../callers/callerOptions.js';

const NOT_FOUND = 404;

/** Room for the headers that this daemon adds to those of a caller. */
const ADDED_HEAD_BYTES = 4_096;

const ADDED_HEAD_FIELDS = 64;

/**
 * The HTTP port at which other daemons reach this one, at the number of the port for datagrams. Each
 * kind of request has a path prefix of its own, which contains the version of its format.
 */
export class PeerServer {
  private readonly handlers = new Map<string, RequestListener>();

  private readonly server: Server;

  /**
   * @param onFault - called with errors of handlers and of accepting connections
   * @param onExceeded - called when a connection is closed because too many requests were sent ahead
   */
  constructor(onFault: (error: unknown) => void, onExceeded: () => void = () => undefined) {
    const maxHeaderSize = callerOptions.maxHeadBytes + ADDED_HEAD_BYTES;
    const handle = (request: IncomingMessage, response: ServerResponse) =>
      this.handleRequest(request, response);
    this.server = createSequentialServer({
      server: { maxHeaderSize },
      onRequest: guardHandler(handle, onFault),
      onExceeded,
    });
    this.server.maxHeadersCount = callerOptions.maxHeadFields + ADDED_HEAD_FIELDS;
    this.server.on('error', (error) => {
      // Errors of an attempt to listen are returned to its caller.
      if (this.server.listening) {
        onFault(error);
      }
    });
  }

  /** @param prefix - the path prefix of the requests that the handler receives, without a final slash */
  addHandler(prefix: string, handler: RequestListener): void {
    this.handlers.set(prefix, handler);
  }

  async listen(host: string, port: number): Promise<void> {
    await listenOn(this.server, host, port);
  }

  /** Accepts no more connections; those that are open stay so. */
  stopListening(): void {
    this.server.close();
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private handleRequest(request: IncomingMessage, response: ServerResponse): void {
    const handler = this.findHandler(request.url ?? '');
    if (handler === undefined) {
      response.statusCode = NOT_FOUND;
      response.end();
      request.resume();
      return;
    }
    handler(request, response);
  }

  private findHandler(url: string): RequestListener | undefined {
    const entry = [...this.handlers].find(([prefix]) => url.startsWith(`${prefix}/`));
    return entry?.[1];
  }
}
