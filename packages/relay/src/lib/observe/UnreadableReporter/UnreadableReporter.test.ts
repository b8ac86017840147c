import { ManualClock } from '@apricotrill/utils';
import { UnreadableKind } from '../../protocol/UnreadableField.js';
import type { RelayEvent } from '../RelayEvent.js';
import { RelayMetrics } from '../RelayMetrics.js';
import { UnreadableReporter, unreadableOptions } from './UnreadableReporter.js';

function createReporter() {
  const clock = new ManualClock();
  const lines: RelayEvent[] = [];
  const metrics = new RelayMetrics();
  const reporter = new UnreadableReporter({ clock, metrics, log: (line) => lines.push(line) });
  return { clock, lines, metrics, reporter };
}

describe('UnreadableReporter', () => {
  // Guards against statements of all replicas that are ignored without a trace.
  it('counts each statement, and logs each kind once per interval', async () => {
    const { clock, lines, metrics, reporter } = createReporter();
    const load = { kind: UnreadableKind.Load, text: '3,0' };
    for (let index = 0; index < 500; index += 1) {
      reporter.report('replica i-1', [load, { kind: UnreadableKind.Limit, text: 'x' }]);
    }
    clock.advance(unreadableOptions.interval);
    reporter.report('replica i-2', [load]);
    expect(lines).toEqual([
      { event: 'unreadable', kind: 'load', source: 'replica i-1', text: '3,0', count: 1 },
      { event: 'unreadable', kind: 'limit', source: 'replica i-1', text: 'x', count: 1 },
      { event: 'unreadable', kind: 'load', source: 'replica i-2', text: '3,0', count: 500 },
    ]);
    const text = await metrics.registry.metrics();
    expect(text).toContain('apricotrill_relay_unreadable_total{kind="load"} 501');
  });

  it('logs the beginning of a long statement, and nothing without one', () => {
    const { lines, reporter } = createReporter();
    reporter.report('caller');
    reporter.report('caller', [{ kind: UnreadableKind.PromptParts, text: 'x'.repeat(9_000) }]);
    expect(lines).toHaveLength(1);
    expect(JSON.stringify(lines[0]).length).toBeLessThan(300);
  });
});
