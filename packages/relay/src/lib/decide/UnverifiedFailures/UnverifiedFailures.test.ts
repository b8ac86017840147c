import { CoreHarness } from '../../../test/CoreHarness.js';
import { createReplica, createRequest, createService } from '../../../test/fixtures.js';
import { AttemptEnd, ProbeResult } from '../messages.js';
import { UnverifiedFailures } from './UnverifiedFailures.js';

/** More failures than make a replica suspect and start its cooldown. */
const FAILURES = 4;

function createHarness(probeResult: ProbeResult): CoreHarness {
  const harness = new CoreHarness([createService('app')], [createReplica('a'), createReplica('b')]);
  harness.probeResult = probeResult;
  return harness;
}

function failAttempts(harness: CoreHarness, end: AttemptEnd): void {
  Array.from({ length: FAILURES }, (_item, index) => `r-${index}`).forEach((id) => {
    harness.submit(createRequest(id, { maxAttempts: 1 }));
    harness.end(id, 1, end);
  });
}

function getAnnouncements(harness: CoreHarness): unknown[] {
  return harness.getEffects('share').filter(({ update }) => update.kind === 'attempt-broken');
}

describe('UnverifiedFailures', () => {
  // Guards against a daemon that blames replicas for its own broken path, here and at its peers.
  it.each([AttemptEnd.Broken, AttemptEnd.NotSent])(
    'does not count failures (%s) of which only the path is the cause',
    (end) => {
      const harness = createHarness(ProbeResult.PathLost);
      failAttempts(harness, end);
      expect(getAnnouncements(harness)).toEqual([]);
      expect(harness.getEffects('start-cooldown')).toEqual([]);
      const suspects = harness.getEffects('suspect').length;
      expect(harness.getEffects('mark-healthy')).toHaveLength(suspects);
    },
  );

  it.each([ProbeResult.Up, ProbeResult.Down, ProbeResult.Unknown])(
    'counts failures after the result "%s"',
    (result) => {
      const harness = createHarness(result);
      failAttempts(harness, AttemptEnd.Broken);
      expect(getAnnouncements(harness)).toHaveLength(FAILURES);
    },
  );

  it('counts the failures during a probe together, and requests a single one', () => {
    const harness = createHarness(ProbeResult.Up);
    const probes: string[] = [];
    const attributed: [string, number][] = [];
    const failures = new UnverifiedFailures({
      emit: (effect) => {
        if (effect.kind === 'probe') {
          probes.push(effect.replica.id);
        }
      },
      onAttributed: (replica, count) => attributed.push([replica, count]),
    });
    const state = harness.core.registry.findReplica('a')!;
    failures.add(state, 0);
    failures.add(state, 0);
    failures.handleProbeResult('b', ProbeResult.Down);
    failures.handleProbeResult('a', ProbeResult.Down);
    failures.handleProbeResult('a', ProbeResult.Down);
    expect(probes).toEqual(['a']);
    expect(attributed).toEqual([['a', 2]]);
  });
});
