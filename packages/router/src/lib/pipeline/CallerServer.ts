import type { KeyMaterial, KeySource } from '@apricotrill/keys';
import { Outcome } from '@apricotrill/policy';
import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { Server as TlsServer } from 'node:https';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import polka from 'polka';
import type { CallerContext } from './CallerContext.js';
import { handleChat } from './handleChat.js';
import { handlePlain } from './handlePlain.js';
import { ProblemError, ProblemReason } from './Problem.js';
import type { Problem } from './Problem.js';
import { writeProblem } from './writeProblem.js';

/**
 * Where callers reach the daemon.
 *
 * @internal
 */
export interface CallerServerAddress {
  host: string;
  port: number;
  headersTimeout: number;
  /** The keys for HTTPS; plain HTTP when absent. */
  keys?: KeySource;
}

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
  requestId: string,
) => Promise<void> | void;

const UNKNOWN_PATH: Problem = {
  reason: ProblemReason.UnknownService,
  status: 404,
  title: 'Unknown path',
  detail: 'there are POST /v1/chat/completions, GET /v1/models and /services/<service>/<path>',
  outcome: Outcome.NotRun,
};

const INTERNAL: Problem = {
  reason: ProblemReason.Internal,
  status: 500,
  title: 'Internal error',
  detail: 'this daemon failed on the request',
  outcome: Outcome.Unknown,
};

/**
 * The HTTP server towards callers: receives requests and hands them to their filters.
 *
 * @internal
 */
export class CallerServer {
  private readonly context: CallerContext;

  private readonly address: CallerServerAddress;

  private readonly server: Server;

  private closing = false;

  private stopKeys: (() => void) | undefined;

  constructor(context: CallerContext, address: CallerServerAddress) {
    this.context = context;
    this.address = address;
    const options = { headersTimeout: address.headersTimeout, requestTimeout: 0 };
    this.server = address.keys === undefined ? createServer(options) : createTlsServer(options);
    this.server.on('clientError', (_error, socket) =>
      CallerServer.refuseMalformed(socket as Socket),
    );
    const app = polka({
      server: this.server,
      onNoMatch: (_request, response) => writeProblem(response, UNKNOWN_PATH, randomUUID()),
    });
    app.post('/v1/chat/completions', (request, response) =>
      this.handle(request, response, (...parts) => handleChat(context, ...parts)),
    );
    app.get('/v1/models', (_request, response) => this.listModels(response));
    app.use('/services', (request, response) =>
      this.handle(request, response, (...parts) => this.servePlain(...parts)),
    );
    app.handler = app.handler.bind(app);
    this.server.on('request', (request, response) => app.handler(request as never, response));
  }

  /** @returns the port, for when the machine chose it */
  listen(): Promise<number> {
    this.useKeys();
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.address.port, this.address.host, () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /**
   * Stops taking connections; answers in flight go on. Every answer from now on asks its caller to
   * close, or idle connections kept for reuse would hold the process for good.
   */
  close(): Promise<void> {
    this.closing = true;
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  /** Cuts every connection: only for a forced end. */
  dispose(): void {
    this.stopKeys?.();
    this.server.close();
    this.server.closeAllConnections();
  }

  /** New connections take the newest keys; open ones keep theirs. */
  private useKeys(): void {
    const { keys } = this.address;
    if (keys === undefined) {
      return;
    }
    const use = ({ certificate, privateKey }: KeyMaterial) =>
      (this.server as TlsServer).setSecureContext({ cert: certificate, key: privateKey });
    use(keys.getCurrent());
    this.stopKeys = keys.onChange(use);
  }

  private handle(request: IncomingMessage, response: ServerResponse, handler: Handler): void {
    const requestId = randomUUID();
    if (this.closing) {
      response.setHeader('connection', 'close');
    }
    Promise.resolve(handler(request, response, requestId)).catch((error: unknown) => {
      this.refuse(response, requestId, error);
      request.resume();
    });
  }

  private refuse(response: ServerResponse, requestId: string, error: unknown): void {
    const known = error instanceof ProblemError;
    const problem = known ? error.problem : INTERNAL;
    if (problem.status === 413 || problem.status === 408) {
      // The rest of the body is not worth reading: the connection ends with the answer.
      response.setHeader('connection', 'close');
    }
    const detail = known ? error.message : String((error as Error).stack ?? error);
    this.context.log('identify', { request: requestId, refused: problem.reason, detail });
    writeProblem(response, problem, requestId);
  }

  private servePlain(request: IncomingMessage, response: ServerResponse, requestId: string) {
    const { originalUrl, url = '/' } = request as { originalUrl?: string; url?: string };
    const [, , service = '', ...rest] = (originalUrl ?? url).split('/');
    const [name = '', query] = service.split('?');
    const path = `/${rest.join('/')}${query === undefined ? '' : `?${query}`}`;
    return handlePlain(this.context, request, response, { requestId, service: name, path });
  }

  private listModels(response: ServerResponse): void {
    const models = this.context.getTable()?.getModels() ?? [];
    const data = models.map((id) => ({ id, object: 'model', owned_by: 'apricotrill' }));
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify({ object: 'list', data }));
  }

  /** Bytes that are not HTTP get a 400 and end their own connection only. */
  private static refuseMalformed(socket: Socket): void {
    if (socket.writable) {
      socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n');
    }
  }
}
