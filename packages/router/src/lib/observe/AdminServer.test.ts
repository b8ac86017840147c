import { Gauge } from 'prom-client';
import { AdminServer } from './AdminServer.js';
import type { AdminSource } from './AdminServer.js';
import { RouterMetrics } from './RouterMetrics.js';

const HOST = '127.0.0.1';

describe('AdminServer', () => {
  const faults: unknown[] = [];
  let metrics: RouterMetrics;
  let server: AdminServer;

  /** Starts a server. @returns the URL of its root */
  async function start(source: Partial<AdminSource> = {}): Promise<string> {
    server = new AdminServer({
      isReady: () => true,
      getMembers: () => [],
      getStatus: () => ({}),
      metrics,
      onFault: (error) => faults.push(error),
      ...source,
    });
    return `http://${HOST}:${await server.listen(HOST, 0)}`;
  }

  beforeEach(() => {
    faults.splice(0);
    metrics = new RouterMetrics();
  });

  afterEach(() => server.dispose());

  // Guards against the end of the process: the framework does not wait for the promise of a handler.
  it('fails only the request for metrics that cannot be collected', async () => {
    const fault = new Error('cannot be collected');
    const gauge = new Gauge({
      name: 'broken',
      help: 'A gauge that cannot be collected',
      registers: [metrics.registry],
      collect: () => Promise.reject(fault),
    });
    expect(gauge).toBeDefined();
    const url = await start();
    expect((await fetch(`${url}/metrics`)).status).toBe(500);
    expect(faults).toEqual([fault]);
    expect((await fetch(`${url}/ready`)).status).toBe(200);
  });

  // Guards against the end of the process: the framework does not catch what a handler throws.
  it('fails only the request for a status that cannot be read', async () => {
    const fault = new Error('cannot be read');
    const url = await start({
      getStatus: () => {
        throw fault;
      },
    });
    expect((await fetch(`${url}/admin/status`)).status).toBe(500);
    expect(faults).toEqual([fault]);
    expect((await fetch(`${url}/ready`)).status).toBe(200);
  });
});
