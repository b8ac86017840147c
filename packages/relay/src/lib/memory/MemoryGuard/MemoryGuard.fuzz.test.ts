import { ManualClock } from '@apricotrill/utils';
import * as fc from 'fast-check';
import type { Holding } from '../HeldBytes/Holding.js';
import { memoryOptions } from '../memoryOptions.js';
import { MemoryGuard } from './MemoryGuard.js';

const { admittedShare, maxBodyWait, requestBytes } = memoryOptions;

const BUDGET = 100 * requestBytes;

const steps = fc.array(
  fc.oneof(
    fc.record({
      kind: fc.constant('arrive' as const),
      urgency: fc.constantFrom(0, 0.5, 1),
      bytes: fc.nat(BUDGET / 2),
    }),
    fc.record({ kind: fc.constant('end' as const), index: fc.nat(20) }),
    fc.record({ kind: fc.constant('wait' as const), duration: fc.nat(maxBodyWait) }),
  ),
  { maxLength: 60 },
);

describe('MemoryGuard', () => {
  // Guards against a request that is neither admitted nor refused, and against memory that is held for none.
  it('decides about each request, within the bound, and holds nothing after all have ended', async () => {
    await fc.assert(
      fc.asyncProperty(steps, async (sequence) => {
        const clock = new ManualClock();
        const guard = new MemoryGuard({
          clock,
          budget: BUDGET,
          heapLimit: undefined,
          onChanged: () => undefined,
        });
        const open: Holding[] = [];
        let decided = 0;
        const arrive = async (urgency: number, bytes: number) => {
          const holding = await guard.admit({ urgency, bytes, headBytes: 0 });
          decided += 1;
          if (holding !== undefined) {
            open.push(holding);
          }
        };
        const arrivals: Promise<void>[] = [];
        for (const step of sequence) {
          if (step.kind === 'arrive') {
            arrivals.push(arrive(step.urgency, step.bytes));
          } else if (step.kind === 'end') {
            open.splice(step.index, 1).forEach((holding) => holding.release());
          } else {
            clock.advance(step.duration);
          }
          // eslint-disable-next-line no-await-in-loop
          await Promise.resolve();
          expect(guard.held.total).toBeLessThanOrEqual(BUDGET * admittedShare);
        }
        clock.advance(maxBodyWait);
        await Promise.all(arrivals);
        expect(decided).toBe(arrivals.length);
        open.forEach((holding) => holding.release());
        expect(guard.held.total).toBe(0);
      }),
    );
  });
});
