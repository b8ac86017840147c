import { LabelSet } from './LabelSet.js';
import { RelayMetrics } from './RelayMetrics.js';

const REQUEST = { kind: 'stream', priority: 1, outcome: 'answered', reason: '' };

describe('LabelSet', () => {
  it('keeps the first names and groups the rest', () => {
    const set = new LabelSet();
    const names = Array.from({ length: 300 }, (_item, index) => set.get(`route-${index}`));
    expect(names[99]).toBe('route-99');
    expect(new Set(names.slice(100))).toEqual(new Set(['other']));
    expect(set.get('route-5')).toBe('route-5');
  });
});

describe('RelayMetrics', () => {
  // Guards against growing memory use and slow scrapes when there are a thousand routes, since each label
  // value is kept forever.
  it('limits the number of labels for any number of routes and workspaces', async () => {
    const metrics = new RelayMetrics();
    for (let index = 0; index < 1_000; index += 1) {
      metrics.countRequest({ ...REQUEST, route: `r-${index}`, workspace: `w-${index}` });
    }
    const text = await metrics.registry.metrics();
    const lines = text.split('\n');
    expect(
      lines.filter((line) => line.startsWith('apricotrill_relay_requests_total{')),
    ).toHaveLength(101);
    expect(text).toMatch(/workspace_requests_total\{workspace="other",outcome="answered"\} 900/);
  });

  it('removes values of labels that no longer exist', async () => {
    const metrics = new RelayMetrics();
    let ages: [string, number][] = [['i-1', 5]];
    metrics.addGauges('report_age_seconds', 'Age.', 'replica', () => ages);
    expect(await metrics.registry.metrics()).toContain('report_age_seconds{replica="i-1"} 5');
    ages = [['i-2', 1]];
    const text = await metrics.registry.metrics();
    expect(text).not.toContain('replica="i-1"');
    expect(text).toContain('report_age_seconds{replica="i-2"} 1');
  });
});
