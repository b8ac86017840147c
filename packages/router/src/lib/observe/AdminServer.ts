import { guardHandler, listenOn } from '@apricotrill/lifecycle';
import type { Handler } from '@apricotrill/lifecycle';
import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import polka from 'polka';
import type { RouterMetrics } from './RouterMetrics.js';

/**
 * Provides the data that the admin server exposes.
 *
 * @internal
 */
export interface AdminSource {
  isReady: () => boolean;
  /** Returns the members as this daemon sees them, with the generation each has in force. */
  getMembers: () => unknown;
  /** Returns the state of this daemon, for operators. */
  getStatus: () => unknown;
  metrics: RouterMetrics;
  /** Called with errors of handlers and of accepting connections. */
  onFault: (error: unknown) => void;
}

function writeJson(response: ServerResponse, status: number, value: unknown): void {
  response.statusCode = status;
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(value));
}

/**
 * The HTTP server for the platform's load balancer (readiness), metrics and operators.
 *
 * @internal
 */
export class AdminServer {
  private readonly server: Server;

  private readonly source: AdminSource;

  constructor(source: AdminSource) {
    this.source = source;
    this.server = createServer();
    const app = polka({ server: this.server });
    app.get('/ready', (_request, response) => this.writeReadiness(response));
    app.get('/admin/members', (_request, response) => {
      writeJson(response, 200, source.getMembers());
    });
    app.get('/admin/status', (_request, response) => {
      writeJson(response, 200, source.getStatus());
    });
    app.get(
      '/metrics',
      // The framework does not wait for the promise of a handler.
      guardHandler((_request, response) => this.writeMetrics(response), source.onFault),
    );
    this.server.on(
      'request',
      guardHandler(app.handler.bind(app) as unknown as Handler, source.onFault),
    );
    this.server.on('error', (error) => {
      // Errors of an attempt to listen are returned to its caller.
      if (this.server.listening) {
        source.onFault(error);
      }
    });
  }

  /** @returns the port, which the operating system chooses when the configured one is 0 */
  listen(host: string, port: number): Promise<number> {
    return listenOn(this.server, host, port);
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private writeReadiness(response: ServerResponse): void {
    const ready = this.source.isReady();
    writeJson(response, ready ? 200 : 503, { ready });
  }

  private async writeMetrics(response: ServerResponse): Promise<void> {
    const { registry } = this.source.metrics;
    const text = await registry.metrics();
    response.setHeader('content-type', registry.contentType);
    response.end(text);
  }
}
