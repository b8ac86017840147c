import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import { callerOptions } from '../../callers/callerOptions.js';

const NOT_FOUND = 404;

/** Room for the headers that this daemon adds to those of a caller. */
const ADDED_HEAD_BYTES = 4_096;

/**
 * The HTTP port at which other daemons reach this one, at the number of the port for datagrams. Each
 * kind of request has a path prefix of its own, which contains the version of its format.
 */
export class PeerServer {
  private readonly handlers = new Map<string, RequestListener>();

  private readonly server: Server;

  constructor() {
    const maxHeaderSize = callerOptions.maxHeadBytes + ADDED_HEAD_BYTES;
    this.server = createServer({ maxHeaderSize }, (request, response) => {
      const handler = this.findHandler(request.url ?? '');
      if (handler === undefined) {
        response.statusCode = NOT_FOUND;
        response.end();
        request.resume();
        return;
      }
      handler(request, response);
    });
  }

  /** @param prefix - the path prefix of the requests that the handler receives, without a final slash */
  addHandler(prefix: string, handler: RequestListener): void {
    this.handlers.set(prefix, handler);
  }

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private findHandler(url: string): RequestListener | undefined {
    const entry = [...this.handlers].find(([prefix]) => url.startsWith(`${prefix}/`));
    return entry?.[1];
  }
}
