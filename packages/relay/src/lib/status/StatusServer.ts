import { createSequentialServer } from '@apricotrill/callers';
import { guardHandler, listenOn } from '@apricotrill/lifecycle';
import type { Handler } from '@apricotrill/lifecycle';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import polka from 'polka';
import type { RelayMetrics } from '../observe/RelayMetrics.js';

/** Dependencies of {@link StatusServer}. */
export interface StatusServerParts {
  isReady: () => boolean;
  /** Additional paths of the readiness endpoint. */
  readyPaths: readonly string[];
  metrics: RelayMetrics;
  /** The state of the duties, for operators; undefined if there are none. */
  getDuties: () => unknown;
  /** Called when a connection is closed because too many requests were sent ahead. */
  onExceeded: () => void;
  /** Called with errors of handlers and of accepting connections. */
  onFault: (error: unknown) => void;
}

/** Serves readiness to the load balancer, and metrics and the state of duties to operators. */
export class StatusServer {
  private readonly servers: Server[] = [];

  private readonly handler: (request: IncomingMessage, response: ServerResponse) => void;

  constructor(private readonly parts: StatusServerParts) {
    const app = polka({ server: createServer() });
    ['/ready', ...parts.readyPaths].forEach((path) => {
      app.get(path, (_request, response) => this.writeReady(response));
    });
    app.get('/duties', (_request, response) => this.writeDuties(response));
    app.get(
      '/metrics',
      // The framework does not wait for the promise of a handler.
      guardHandler((_request, response) => this.writeMetrics(response), parts.onFault),
    );
    this.handler = guardHandler(app.handler.bind(app) as unknown as Handler, parts.onFault);
  }

  /** @returns the port, which the operating system chooses if 0 is given */
  async listen(host: string, port: number): Promise<number> {
    const { onExceeded } = this.parts;
    const server = createSequentialServer({ onRequest: this.handler, onExceeded });
    const boundPort = await listenOn(server, host, port);
    server.on('error', (error) => this.parts.onFault(error));
    this.servers.push(server);
    return boundPort;
  }

  /** Accepts no more connections; those that are open stay so. */
  stopListening(): void {
    this.servers.forEach((server) => server.close());
  }

  dispose(): void {
    this.servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  private writeReady(response: ServerResponse): void {
    const isReady = this.parts.isReady();
    response.statusCode = isReady ? 200 : 503;
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify({ ready: isReady }));
  }

  private writeDuties(response: ServerResponse): void {
    const duties = this.parts.getDuties();
    response.statusCode = duties === undefined ? 404 : 200;
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify(duties ?? { reason: 'the platform wants no duties' }));
  }

  private async writeMetrics(response: ServerResponse): Promise<void> {
    const { registry } = this.parts.metrics;
    const text = await registry.metrics();
    response.setHeader('content-type', registry.contentType);
    response.end(text);
  }
}
