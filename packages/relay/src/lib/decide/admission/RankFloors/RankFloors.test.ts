import { createReplayApplicant } from '../../../../test/createReplayApplicant.js';
import { admissionOptions } from '../admissionOptions.js';
import { createWaitingApplicant } from '../WaitingApplicant.js';
import type { WaitingApplicant } from '../WaitingApplicant.js';
import { RankFloors } from './RankFloors.js';

function createWaiting(rank: number, tokens = 4_000): WaitingApplicant {
  const applicant = createReplayApplicant(`rank-${rank}`, { rank, tokens });
  const options = admissionOptions;
  return createWaitingApplicant({
    applicant,
    engines: [],
    now: 0,
    options,
    firstArrivedAt: undefined,
  });
}

/** Counts how often each rank begins while one request of each waits all the time. */
function beginOften(waiting: readonly WaitingApplicant[], begins: number): number[] {
  const floors = new RankFloors(admissionOptions);
  const counts = waiting.map(() => 0);
  for (let index = 0; index < begins; index += 1) {
    waiting.forEach(({ applicant }) => floors.recordArrival(applicant.criteria.rank, index));
    const next = floors.apply(waiting)[0]!;
    counts[waiting.indexOf(next)]! += 1;
    floors.recordBegin(next.applicant.criteria.rank, index);
  }
  return counts;
}

describe('RankFloors', () => {
  it('lets each less urgent rank begin now and then, within its bound', () => {
    // Guards against ranks that get nothing as long as more urgent requests ask for all engines.
    const begins = 640;
    const [, second, third] = beginOften(
      [0, 1, 2].map((rank) => createWaiting(rank)),
      begins,
    );
    expect(second! + third!).toBeLessThanOrEqual(2 + begins * admissionOptions.floorShare);
    const leastBegins = (begins * admissionOptions.floorShare) / 4;
    expect(Math.min(second!, third!)).toBeGreaterThanOrEqual(leastBegins);
  });

  it('lets no request go first that costs over twice as much as a more urgent one', () => {
    // Guards against a large request that takes the place of several urgent ones.
    expect(beginOften([createWaiting(0, 1_000), createWaiting(1, 9_000)], 100)).toEqual([100, 0]);
    expect(beginOften([createWaiting(0, 1_000), createWaiting(1, 2_000)], 100)[1]).toBeGreaterThan(
      0,
    );
  });
});
