import { createHash } from 'node:crypto';
import { ManualClock } from '@apricotrill/utils';
import { waitUntil } from '../../test/waitUntil.js';
import { createServiceStandin } from './ServiceStandin.js';
import type { ServiceStandinSettings } from './ServiceStandin.js';

const disposals: (() => Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(disposals.splice(0).map((dispose) => dispose()));
});

async function setUp(settings: ServiceStandinSettings = {}) {
  const service = createServiceStandin({
    service: 'bodega-app',
    delay: 1,
    loadLag: 0,
    ...settings,
  });
  disposals.push(() => service.dispose());
  const { host, port } = await service.listen();
  const headers = { 'idempotency-key': 'key-1', 'x-request-id': 'r-1/1' };
  const pay = (init: RequestInit = {}) =>
    fetch(`http://${host}:${port}/payments/7?full=1`, {
      method: 'POST',
      body: '{}',
      headers,
      ...init,
    });
  return { service, pay };
}

describe('ServiceStandin', () => {
  it('echoes a call and records it', async () => {
    const { service, pay } = await setUp();
    const answer = await pay();
    const echo = createHash('sha256').update('{}').digest('hex');
    const call = { method: 'POST', path: '/payments/7?full=1', requestId: 'r-1/1', run: 1 };
    expect(await answer.json()).toEqual({ service: 'bodega-app', echo, ...call });
    expect(answer.headers.get('x-load')).toMatch(/slots=16/);
    expect(service.getRuns()).toEqual([{ ...call, idempotencyKey: 'key-1', completed: true }]);
  });

  it('runs a call whose response is lost or mixed up, but not one that it refuses', async () => {
    const { service, pay } = await setUp();
    service.faults.apply({ kind: 'drop-after', tokens: 0, count: 1 });
    await expect(pay()).rejects.toThrow('fetch failed');
    expect(service.getRuns()).toMatchObject([{ idempotencyKey: 'key-1', completed: false }]);
    service.faults.apply({ kind: 'stray-answers', count: 1 });
    expect((await pay()).headers.get('x-request-id')).toBe('stray/0');
    expect(service.getRuns()[1]).toMatchObject({ requestId: 'r-1/1', completed: true });
    service.faults.apply({ kind: 'leave' });
    const refusal = await pay();
    expect([refusal.status, refusal.headers.get('x-outcome')]).toEqual([503, 'not-run']);
    expect(service.getRuns()).toHaveLength(2);
  });

  it('limits the running and waiting calls and refuses the others', async () => {
    const clock = new ManualClock();
    const { service, pay } = await setUp({ slots: 1, maxWaiting: 1, clock });
    const statuses: number[] = [];
    const calls = Array.from({ length: 4 }, async () => statuses.push((await pay()).status));
    await waitUntil(() => statuses.length === 2);
    expect(statuses).toEqual([429, 429]);
    expect(service.getRuns()).toHaveLength(1);
    clock.advance(1);
    clock.advance(1);
    await Promise.all(calls);
    expect(statuses).toEqual([429, 429, 200, 200]);
    expect(service.getRuns()).toHaveLength(2);
  });
});
