import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import polka from 'polka';
import type { RouterMetrics } from './RouterMetrics.js';

/**
 * What the admin port shows.
 *
 * @internal
 */
export interface AdminView {
  isReady: () => boolean;
  /** The members as this daemon sees them, with the generation each has in force. */
  getMembers: () => unknown;
  /** The state of this daemon, for operators. */
  getStatus: () => unknown;
  metrics: RouterMetrics;
}

function writeJson(response: ServerResponse, status: number, value: unknown): void {
  response.statusCode = status;
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(value));
}

/**
 * The HTTP server for the platform's balancer (readiness), for metrics and for operators.
 *
 * @internal
 */
export class AdminServer {
  private readonly server: Server;

  private readonly view: AdminView;

  constructor(view: AdminView) {
    this.view = view;
    this.server = createServer();
    const app = polka({ server: this.server });
    app.get('/ready', (_request, response) => this.writeReady(response));
    app.get('/admin/members', (_request, response) => {
      writeJson(response, 200, view.getMembers());
    });
    app.get('/admin/status', (_request, response) => {
      writeJson(response, 200, view.getStatus());
    });
    app.get('/metrics', (_request, response) => this.writeMetrics(response));
    const handler = app.handler.bind(app) as unknown as (
      request: IncomingMessage,
      response: ServerResponse,
    ) => void;
    this.server.on('request', handler);
  }

  /** @returns the port, for when the machine chose it */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve((this.server.address() as AddressInfo).port));
    });
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private writeReady(response: ServerResponse): void {
    const ready = this.view.isReady();
    writeJson(response, ready ? 200 : 503, { ready });
  }

  private async writeMetrics(response: ServerResponse): Promise<void> {
    const { registry } = this.view.metrics;
    const text = await registry.metrics();
    response.setHeader('content-type', registry.contentType);
    response.end(text);
  }
}
