import {
  CallerConnections,
  refuseConnection,
  waitForPendingConnections,
} from '@apricotrill/callers';
import type { KeyMaterial, KeySource } from '@apricotrill/keys';
import { ExecutionOutcome } from '@apricotrill/policy';
import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { Server as TlsServer } from 'node:https';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import polka from 'polka';
import { routerOptions } from '../options.js';
import type { CallerContext } from './HandlerContext.js';
import { discardBody } from './discardBody.js';
import { getMalformedBody } from './getRefusalBody.js';
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
  outcome: ExecutionOutcome.NotRun,
};

const INTERNAL: Problem = {
  reason: ProblemReason.Internal,
  status: 500,
  title: 'Internal error',
  detail: 'this daemon failed on the request',
  outcome: ExecutionOutcome.Unknown,
  retryAfter: routerOptions.internalRetryAfter,
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

  private readonly connections: CallerConnections;

  private closing = false;

  private stopKeys: (() => void) | undefined;

  constructor(context: CallerContext, address: CallerServerAddress) {
    this.context = context;
    this.address = address;
    this.connections = new CallerConnections({
      clock: context.clock,
      headersTimeout: address.headersTimeout,
      firstRequestTimeout: routerOptions.firstRequest,
      callerStallTimeout: routerOptions.callerStall,
    });
    this.server = this.createServer();
    const { server } = this;
    const app = polka({
      server,
      onNoMatch: (request, response) =>
        this.handle(request, response, () => {
          throw new ProblemError(UNKNOWN_PATH, { step: 'receive', peer: 'caller' });
        }),
    });
    app.post('/v1/chat/completions', (request, response) =>
      this.handle(request, response, (...parts) => handleChat(context, ...parts)),
    );
    app.get('/v1/models', (request, response) =>
      this.handle(request, response, () => this.listModels(response)),
    );
    app.use('/services', (request, response) =>
      this.handle(request, response, (...parts) => this.servePlain(...parts)),
    );
    server.on('request', (request, response) => app.handler(request as never, response));
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
   * close, and connections without a request end, or those kept for reuse would hold the process
   * for good.
   */
  async close(): Promise<void> {
    this.closing = true;
    await waitForPendingConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.context.log('daemon', { event: 'port-closed', ...this.connections.drain() });
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

  private createServer(): Server {
    const { keys, headersTimeout } = this.address;
    const options = {
      headersTimeout,
      requestTimeout: 0,
      connectionsCheckingInterval: routerOptions.connectionsCheck,
    };
    // A handshake that never ends would hold the shutdown as an idle connection does.
    const server =
      keys === undefined
        ? createServer(options)
        : createTlsServer({ ...options, handshakeTimeout: headersTimeout });
    server.on(keys === undefined ? 'connection' : 'secureConnection', (socket: Socket) =>
      this.connections.add(socket),
    );
    server.on('clientError', (error, socket) => this.refuseBytes(error, socket as Socket));
    return server;
  }

  private handle(request: IncomingMessage, response: ServerResponse, handler: Handler): void {
    const requestId = randomUUID();
    const leave = this.context.runner.enter();
    this.connections.trackRequest(request, response);
    if (this.closing) {
      response.setHeader('connection', 'close');
    }
    const handling = async () => handler(request, response, requestId);
    handling()
      .catch((error: unknown) => {
        this.refuse(response, requestId, error);
        discardBody(request, this.context.clock);
      })
      .finally(leave);
  }

  private refuse(response: ServerResponse, requestId: string, error: unknown): void {
    const known = error instanceof ProblemError;
    const problem = known ? error.problem : INTERNAL;
    const detail = known ? error.message : String((error as Error).stack ?? error);
    this.context.log('identify', { request: requestId, refused: problem.reason, detail });
    writeProblem(response, problem, requestId);
  }

  /**
   * Bytes that are not HTTP end their own connection only. When they follow a request that is being
   * answered, they must not become part of its answer, nor pass it off as not run.
   */
  private refuseBytes(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!this.connections.isResponding(socket)) {
      refuseConnection(socket, error, getMalformedBody);
    }
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
}
