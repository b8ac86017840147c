import { createReplayApplicant } from '../../../../test/createReplayApplicant.js';
import type { ReplayApplicantParts } from '../../../../test/createReplayApplicant.js';
import { admissionOptions } from '../admissionOptions.js';
import { createWaitingApplicant } from '../WaitingApplicant.js';
import type { WaitingApplicant } from '../WaitingApplicant.js';
import { FairOrder } from './FairOrder.js';

function createWaiting(
  id: string,
  parts: ReplayApplicantParts & { firstArrivedAt?: number } = {},
): WaitingApplicant {
  const { firstArrivedAt } = parts;
  const applicant = createReplayApplicant(id, parts);
  const options = admissionOptions;
  return createWaitingApplicant({ applicant, engines: [], now: 0, options, firstArrivedAt });
}

/** Lets all applicants begin in order. */
function beginAll(order: FairOrder, applicants: readonly WaitingApplicant[], now = 100): string[] {
  const waiting = new Set(applicants);
  const begun: string[] = [];
  while (waiting.size > 0) {
    const next = order.sort(waiting, now)[0]!;
    waiting.delete(next);
    order.recordBegin(next, now);
    begun.push(next.applicant.id);
  }
  return begun;
}

describe('FairOrder', () => {
  it('begins the most urgent rank first, and equals in the order in which they first arrived', () => {
    const late = createWaiting('late', { arrivedAt: 1, rank: 2 });
    const returned = createWaiting('returned', { arrivedAt: 30, rank: 2, firstArrivedAt: 0 });
    const urgent = createWaiting('urgent', { arrivedAt: 40, rank: 0 });
    expect(beginAll(new FairOrder(admissionOptions), [late, returned, urgent])).toEqual([
      'urgent',
      'returned',
      'late',
    ]);
  });

  it('begins requests of a workspace in the order in which their targets pass', () => {
    const long = createWaiting('long', { arrivedAt: 0, latencyTarget: 800 });
    const short = createWaiting('short', { arrivedAt: 100, latencyTarget: 300 });
    expect(beginAll(new FairOrder(admissionOptions), [long, short])).toEqual(['short', 'long']);
  });

  it('begins returning requests that are overdue after those that can still be in time', () => {
    // Guards against overload in which every request is served, but each only when it is late.
    const overdue = createWaiting('overdue', { arrivedAt: 900, firstArrivedAt: 0 });
    const fresh = createWaiting('fresh', { arrivedAt: 950 });
    expect(beginAll(new FairOrder(admissionOptions), [overdue, fresh], 1_000)).toEqual([
      'fresh',
      'overdue',
    ]);
  });

  it('takes turns among workspaces by the cost of what began', () => {
    // Guards against order of arrival: one workspace sends ten requests, and the others wait for all.
    const flood = Array.from({ length: 4 }, (_item, index) =>
      createWaiting(`flood-${index}`, { workspace: 'flood', arrivedAt: index }),
    );
    const small = ['small-0', 'small-1', 'small-2'].map((id) =>
      createWaiting(id, { workspace: 'small', arrivedAt: 50, tokens: 1_800 }),
    );
    // Each costs its tokens and 400 more for the output: 4,400 and 2,200.
    expect(beginAll(new FairOrder(admissionOptions), [...flood, ...small])).toEqual([
      'flood-0',
      'small-0',
      'small-1',
      'flood-1',
      'small-2',
      'flood-2',
      'flood-3',
    ]);
  });

  it('gives no credit for idle time', () => {
    // Guards against a workspace that returns after a minute and gets all engines for seconds.
    const order = new FairOrder(admissionOptions);
    const steady = Array.from({ length: 20 }, (_item, index) =>
      createWaiting(`steady-${index}`, { workspace: 'steady' }),
    );
    beginAll(order, steady);
    const next = ['a', 'b', 'c'].flatMap((id) => [
      createWaiting(`steady-${id}`, { workspace: 'steady', arrivedAt: 100 }),
      createWaiting(`idle-${id}`, { workspace: 'idle', arrivedAt: 101 }),
    ]);
    expect(beginAll(order, next)).toEqual([
      'idle-a',
      'steady-a',
      'idle-b',
      'steady-b',
      'idle-c',
      'steady-c',
    ]);
  });
});
