import fc from 'fast-check';
import { pathOptions } from '../pathOptions.js';
import { PathTable } from './PathTable.js';

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 300);

const REPLICAS = ['a', 'b', 'c', 'd'];

type Step =
  | { kind: 'failure' | 'opened' | 'lost' | 'contact' | 'confirm'; replica: string; after: number }
  | { kind: 'probe'; replica: string; after: number; isUp: boolean }
  | { kind: 'list'; replicas: string[]; after: number };

const replica = fc.constantFrom(...REPLICAS);
const after = fc.integer({ min: 0, max: 3_000 });

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constantFrom<'failure' | 'opened' | 'lost' | 'contact' | 'confirm'>(
      'failure',
      'opened',
      'lost',
      'contact',
      'confirm',
    ),
    replica,
    after,
  }),
  fc.record({ kind: fc.constant<'probe'>('probe'), replica, after, isUp: fc.boolean() }),
  fc.record({ kind: fc.constant<'list'>('list'), replicas: fc.subarray(REPLICAS), after }),
);

function apply(paths: PathTable, now: number, action: Step): void {
  switch (action.kind) {
    case 'failure':
      paths.recordFailure(action.replica, now);
      break;
    case 'opened':
      paths.recordOpened(action.replica, now);
      break;
    case 'lost':
      paths.recordLost(action.replica, now);
      break;
    case 'confirm':
      paths.confirmIsolation(now);
      break;
    case 'contact':
      paths.recordContact(now);
      break;
    case 'probe':
      paths.recordProbe(action.replica, action.isUp, now);
      break;
    case 'list':
      paths.retain(new Set(action.replicas));
      break;
    default:
      action satisfies never;
  }
}

describe('PathTable', () => {
  // Guards against paths that stay lost, or a daemon that stays isolated, after the partition has ended.
  it('restores all paths after a bounded number of successful probes, in any state', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const paths = new PathTable();
        paths.retain(new Set(REPLICAS));
        let now = 0;
        steps.forEach((action) => {
          now += action.after;
          apply(paths, now, action);
          expect(paths.lostCount).toBeLessThanOrEqual(paths.listedCount);
        });
        const rounds = pathOptions.maxRequiredSuccesses;
        for (let round = 0; round < rounds; round += 1) {
          now += pathOptions.recoveryInterval;
          const targets = paths.lostReplicas.length > 0 ? paths.lostReplicas : REPLICAS;
          const at = now;
          targets.forEach((id) => paths.recordProbe(id, true, at));
        }
        expect(REPLICAS.filter((id) => paths.isLost(id))).toEqual([]);
      }),
      { numRuns: RUNS },
    );
  });

  // Guards against a daemon that gives up its direct paths while it can open connections.
  it('isolates a daemon only after two losses without an opened connection since the first', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const paths = new PathTable();
        paths.retain(new Set(REPLICAS));
        let now = 0;
        let openedAt = Number.NEGATIVE_INFINITY;
        steps.forEach((action) => {
          now += action.after;
          const wasIsolated = paths.isIsolated;
          apply(paths, now, action);
          openedAt = action.kind === 'opened' ? now : openedAt;
          if (paths.isIsolated && !wasIsolated) {
            expect(action.kind).toBe('confirm');
            expect(paths.lostReplicas.length).toBeGreaterThanOrEqual(
              Math.min(pathOptions.isolationEvidence, paths.listedCount),
            );
            expect(openedAt).toBeLessThan(now);
          }
        });
      }),
      { numRuns: RUNS },
    );
  });
});
