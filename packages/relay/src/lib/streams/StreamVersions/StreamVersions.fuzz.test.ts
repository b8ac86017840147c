import { ManualClock } from '@apricotrill/utils';
import * as fc from 'fast-check';
import { createReplica } from '../../../test/fixtures.js';
import { streamOptions } from '../streamOptions.js';
import { StreamVersions } from './StreamVersions.js';

type Step =
  | { kind: 'list'; versions: string[] }
  | { kind: 'stream'; id: number; version: string }
  | { kind: 'wait'; span: number };

const version = fc.constantFrom('v1', 'v2', 'v3');

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('list' as const), versions: fc.uniqueArray(version) }),
  fc.record({ kind: fc.constant('stream' as const), id: fc.nat({ max: 9 }), version }),
  fc.record({ kind: fc.constant('wait' as const), span: fc.integer({ min: 1, max: 20_000 }) }),
);

/** Runs against an oracle that keeps everything that ever happened. */
describe('StreamVersions', () => {
  it('never names a wrong version, and none as the only one beside others', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), fc.boolean(), (steps, isFirstStart) => {
        const clock = new ManualClock();
        const versions = new StreamVersions({ clock, isFirstStart, getListAge: () => 0 });
        const lists: { at: number; versions: string[] }[] = [];
        const streams = new Map<string, { at: number; version: string }>();
        steps.forEach((item) => {
          switch (item.kind) {
            case 'list':
              lists.push({ at: clock.now(), versions: item.versions });
              versions.setReplicas(
                item.versions.map((softwareVersion) =>
                  createReplica(softwareVersion, { softwareVersion }),
                ),
              );
              break;
            case 'stream':
              streams.set(`s-${item.id}`, { at: clock.now(), version: item.version });
              versions.record({
                id: `s-${item.id}`,
                service: 'app',
                softwareVersion: item.version,
              });
              break;
            case 'wait':
              clock.advance(item.span);
              break;
            default:
              item satisfies never;
          }
          const start = clock.now() - streamOptions.minResumeTime;
          streams.forEach(({ at, version: began }, id) =>
            expect(versions.find(id)?.softwareVersion).toBe(at >= start ? began : undefined),
          );
          const until = (index: number) => lists[index + 1]?.at ?? Number.POSITIVE_INFINITY;
          const listed = lists.filter((_list, index) => until(index) >= start);
          const history = versions.getHistory('app');
          expect(new Set(history.versions)).toEqual(
            new Set(listed.flatMap((list) => list.versions)),
          );
          const since = isFirstStart ? Number.NEGATIVE_INFINITY : lists[0]?.at;
          expect(history.isCovered).toBe(lists.length > 0 && since! <= start);
        });
      }),
      { seed: 57, numRuns: Number(process.env.FUZZ_RUNS ?? 300) },
    );
  });
});
