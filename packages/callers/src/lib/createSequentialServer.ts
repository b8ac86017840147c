import { IncomingMessage, createServer } from 'node:http';
import type { RequestListener, Server, ServerOptions } from 'node:http';
import type { Socket } from 'node:net';
import { RequestSequences } from './RequestSequences/RequestSequences.js';
import type { RequestSequenceLimits } from './RequestSequences/RequestSequences.js';

/**
 * Options of {@link createSequentialServer}.
 *
 * @public
 */
export interface SequentialServerOptions {
  /** Options of the HTTP server. */
  server?: ServerOptions;
  limits?: RequestSequenceLimits;
  onRequest: RequestListener;
  /** Called when a connection is closed because more requests were sent ahead than may wait. */
  onExceeded: () => void;
}

/**
 * Limits that no client meets which awaits each response before its next request.
 *
 * @public
 */
export const DEFAULT_SEQUENCE_LIMITS: RequestSequenceLimits = {
  maxWaiting: 2,
  maxTotalWaiting: 64,
};

const BAD_REQUEST = 400;
const EXPECTATION_FAILED = 417;

const respondNotMet: RequestListener = (request, response) => {
  response.writeHead(EXPECTATION_FAILED).end();
  request.resume();
};

/** Rejects requests of HTTP/1.1 without a host, as the HTTP server does by itself, but in their sequence. */
function requireHost(listener: RequestListener): RequestListener {
  return (request, response) => {
    if (request.httpVersion === '1.1' && request.headers.host === undefined) {
      response.writeHead(BAD_REQUEST, { connection: 'close' }).end();
      request.resume();
      return;
    }
    listener(request, response);
  };
}

/**
 * Creates an HTTP server that handles the requests of a connection one after another, and closes connections
 * whose client sends many ahead. The HTTP server itself parses all requests that it reads at once, and keeps
 * each of them until the responses before its own have been sent.
 *
 * @example
 * ```ts
 * const server = createSequentialServer({ onRequest: handle, onExceeded: () => refused.inc() });
 * ```
 * @public
 */
export function createSequentialServer(options: SequentialServerOptions): Server {
  const { limits = DEFAULT_SEQUENCE_LIMITS, onExceeded } = options;
  const sequences = new RequestSequences(limits);
  const onRequest = requireHost(options.onRequest);
  class SequencedMessage extends IncomingMessage {
    private readonly isExcess: boolean;

    constructor(socket: Socket) {
      super(socket);
      this.isExcess = !sequences.tryOpen(socket);
    }

    /** The parser stops at an upgrade, and drops what it has read beyond it. No protocol can be upgraded to. */
    get upgrade(): boolean {
      return this.method === 'CONNECT' || this.isExcess;
    }

    // eslint-disable-next-line class-methods-use-this -- set by the parser, for requests that ask for an upgrade
    set upgrade(_isRequested: boolean) {
      // Such requests are handled as others.
    }
  }
  const server = createServer({
    ...options.server,
    IncomingMessage: SequencedMessage,
    requireHostHeader: false,
  });
  server.on('request', (request, response) => sequences.add(request, response, onRequest));
  server.on('checkExpectation', (request, response) =>
    sequences.add(request, response, respondNotMet),
  );
  server.on('upgrade', (_request, socket) => {
    onExceeded();
    socket.destroy();
  });
  return server;
}
