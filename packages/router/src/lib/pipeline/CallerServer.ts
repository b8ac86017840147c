import {
  CallerConnections,
  refuseConnection,
  waitForPendingConnections,
} from '@apricotrill/callers';
import type { KeyMaterial, KeySource } from '@apricotrill/keys';
import { guardHandler, listenOn } from '@apricotrill/lifecycle';
import { ExecutionOutcome } from '@apricotrill/policy';
import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { Server as TlsServer } from 'node:https';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import polka from 'polka';
import { defaultRouterOptions } from '../options.js';
import type { HandlerContext } from './HandlerContext.js';
import { discardBody } from './discardBody.js';
import { getRefusalBody } from './getRefusalBody.js';
import { handleChat } from './handleChat.js';
import { handlePlain } from './handlePlain.js';
import { ProblemError, ProblemReason } from './Problem.js';
import type { Problem } from './Problem.js';
import { writeProblem } from './writeProblem.js';

/**
 * The address at which the daemon listens for callers.
 *
 * @internal
 */
export interface CallerServerAddress {
  host: string;
  port: number;
  headersTimeout: number;
  /** Key and certificate for HTTPS; plain HTTP when absent. */
  keys?: KeySource;
  /** Called with errors of handlers and of accepting connections. */
  onFault: (error: unknown) => void;
}

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
  requestId: string,
) => Promise<void> | void;

const UNKNOWN_PATH_PROBLEM: Problem = {
  reason: ProblemReason.UnknownService,
  status: 404,
  title: 'Unknown path',
  detail: 'there are POST /v1/chat/completions, GET /v1/models and /services/<service>/<path>',
  outcome: ExecutionOutcome.NotRun,
};

const INTERNAL_ERROR_PROBLEM: Problem = {
  reason: ProblemReason.Internal,
  status: 500,
  title: 'Internal error',
  detail: 'this daemon failed on the request',
  outcome: ExecutionOutcome.Unknown,
  retryAfter: defaultRouterOptions.internalRetryAfter,
};

/**
 * The HTTP server for callers. Dispatches each request to the handler of its route.
 *
 * @internal
 */
export class CallerServer {
  private readonly context: HandlerContext;

  private readonly address: CallerServerAddress;

  private readonly server: Server;

  private readonly connections: CallerConnections;

  private isClosing = false;

  private unsubscribeFromKeys: (() => void) | undefined;

  constructor(context: HandlerContext, address: CallerServerAddress) {
    this.context = context;
    this.address = address;
    this.connections = new CallerConnections({
      clock: context.clock,
      headersTimeout: address.headersTimeout,
      firstRequestTimeout: defaultRouterOptions.firstRequestTimeout,
      callerStallTimeout: defaultRouterOptions.callerStallTimeout,
    });
    this.server = this.createServer();
    const { server } = this;
    const app = polka({
      server,
      onNoMatch: (request, response) =>
        this.handleRequest(request, response, () => {
          throw new ProblemError(UNKNOWN_PATH_PROBLEM, { step: 'receive', peer: 'caller' });
        }),
    });
    app.post('/v1/chat/completions', (request, response) =>
      this.handleRequest(request, response, (...args) => handleChat(context, ...args)),
    );
    app.get('/v1/models', (request, response) =>
      this.handleRequest(request, response, () => this.listModels(response)),
    );
    app.use('/services', (request, response) =>
      this.handleRequest(request, response, (...args) => this.handlePlainRequest(...args)),
    );
    server.on(
      'request',
      guardHandler((request, response) => app.handler(request as never, response), address.onFault),
    );
  }

  /** @returns the port, which the operating system chooses when the configured one is 0 */
  listen(): Promise<number> {
    this.applyKeys();
    return listenOn(this.server, this.address.host, this.address.port);
  }

  /** Whether connections are accepted. */
  get isListening(): boolean {
    return this.server.listening;
  }

  /**
   * Stops accepting connections; responses in flight continue. From now on every response asks its
   * caller to close the connection, and connections without a request are closed: otherwise
   * keep-alive connections would prevent the process from ever exiting.
   */
  async close(): Promise<void> {
    this.isClosing = true;
    await waitForPendingConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.context.log('daemon', { event: 'port-closed', ...this.connections.drain() });
    });
  }

  /** Closes every connection immediately, including those with a request in flight. */
  dispose(): void {
    this.unsubscribeFromKeys?.();
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Uses the latest keys for new connections; open connections keep theirs. */
  private applyKeys(): void {
    const { keys } = this.address;
    if (keys === undefined) {
      return;
    }
    const apply = ({ certificate, privateKey }: KeyMaterial) =>
      (this.server as TlsServer).setSecureContext({ cert: certificate, key: privateKey });
    apply(keys.getCurrent());
    this.unsubscribeFromKeys ??= keys.onChange(apply);
  }

  private createServer(): Server {
    const { keys, headersTimeout } = this.address;
    const options = {
      headersTimeout,
      requestTimeout: 0,
      connectionsCheckingInterval: defaultRouterOptions.connectionsCheckInterval,
    };
    // Without a timeout, an unfinished TLS handshake would block shutdown as an idle connection does.
    const server =
      keys === undefined
        ? createServer(options)
        : createTlsServer({ ...options, handshakeTimeout: headersTimeout });
    server.on(keys === undefined ? 'connection' : 'secureConnection', (socket: Socket) =>
      this.connections.add(socket),
    );
    server.on('error', (error) => {
      // Errors of an attempt to listen are returned to its caller.
      if (server.listening) {
        this.address.onFault(error);
      }
    });
    server.on('clientError', (error, socket) => this.rejectMalformedBytes(error, socket as Socket));
    return server;
  }

  private handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
    handler: Handler,
  ): void {
    const requestId = randomUUID();
    const endArrival = this.context.runner.trackArrival();
    this.connections.trackRequest(request, response);
    if (this.isClosing) {
      response.setHeader('connection', 'close');
    }
    const runHandler = async () => handler(request, response, requestId);
    runHandler()
      .catch((error: unknown) => {
        this.rejectRequest(response, requestId, error);
        discardBody(request, this.context.clock);
      })
      .finally(endArrival)
      .catch(this.address.onFault);
  }

  private rejectRequest(response: ServerResponse, requestId: string, error: unknown): void {
    const isProblem = error instanceof ProblemError;
    const problem = isProblem ? error.problem : INTERNAL_ERROR_PROBLEM;
    const detail = isProblem ? error.message : String((error as Error).stack ?? error);
    this.context.log('identify', { request: requestId, refused: problem.reason, detail });
    writeProblem(response, problem, requestId);
  }

  /**
   * Bytes that are not valid HTTP close only their own connection. If they follow a request that is
   * still being answered, no error is written: it would become part of that response, or claim that
   * the request was not run.
   */
  private rejectMalformedBytes(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!this.connections.isResponding(socket)) {
      refuseConnection(socket, error, getRefusalBody);
    }
  }

  private handlePlainRequest(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
  ) {
    const { originalUrl, url = '/' } = request as { originalUrl?: string; url?: string };
    const [, , serviceSegment = '', ...pathSegments] = (originalUrl ?? url).split('/');
    const [service = '', query] = serviceSegment.split('?');
    const path = `/${pathSegments.join('/')}${query === undefined ? '' : `?${query}`}`;
    return handlePlain(this.context, request, response, { requestId, service, path });
  }

  private listModels(response: ServerResponse): void {
    const models = this.context.getTable()?.getModels() ?? [];
    const data = models.map((id) => ({ id, object: 'model', owned_by: 'apricotrill' }));
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify({ object: 'list', data }));
  }
}
