import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import polka from 'polka';
import type { RelayMetrics } from '../observe/RelayMetrics.js';

/** What the status port shows. */
export interface StatusView {
  isReady: () => boolean;
  /** Further paths at which readiness is asked for. */
  readyPaths: readonly string[];
  metrics: RelayMetrics;
  /** What operators are shown of duties; undefined where there are none. */
  getDuties: () => unknown;
}

/** Answers the balancer's question for readiness, and serves metrics. */
export class StatusServer {
  private readonly servers: Server[] = [];

  private readonly handler: (request: IncomingMessage, response: ServerResponse) => void;

  constructor(private readonly view: StatusView) {
    const app = polka({ server: createServer() });
    ['/ready', ...view.readyPaths].forEach((path) => {
      app.get(path, (_request, response) => this.writeReady(response));
    });
    app.get('/duties', (_request, response) => this.writeDuties(response));
    app.get('/metrics', (_request, response) => this.writeMetrics(response));
    this.handler = app.handler.bind(app) as unknown as typeof this.handler;
  }

  /** @returns the port, for when the machine chose it */
  listen(host: string, port: number): Promise<number> {
    const server = createServer(this.handler);
    this.servers.push(server);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve((server.address() as AddressInfo).port));
    });
  }

  dispose(): void {
    this.servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  private writeReady(response: ServerResponse): void {
    const isReady = this.view.isReady();
    response.statusCode = isReady ? 200 : 503;
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify({ ready: isReady }));
  }

  private writeDuties(response: ServerResponse): void {
    const duties = this.view.getDuties();
    response.statusCode = duties === undefined ? 404 : 200;
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify(duties ?? { reason: 'the platform wants no duties' }));
  }

  private async writeMetrics(response: ServerResponse): Promise<void> {
    const { registry } = this.view.metrics;
    const text = await registry.metrics();
    response.setHeader('content-type', registry.contentType);
    response.end(text);
  }
}
