import { AttemptEnd } from '../../decide/messages.js';
import { RunStartEstimator } from './RunStartEstimator.js';
import type { EndedAttempt } from './RunStartEstimator.js';

const NON_STREAMED: EndedAttempt = {
  service: 'app',
  end: AttemptEnd.Completed,
  sentAt: 1_000,
  endedAt: 1_020,
  isStream: false,
};

describe('RunStartEstimator', () => {
  it('estimates a start from the end of a stream only if the replica has failed it', () => {
    const estimator = new RunStartEstimator();
    const stream = { ...NON_STREAMED, isStream: true };
    expect(estimator.estimateStart(stream)).toBeUndefined();
    expect(estimator.estimateStart({ ...stream, end: AttemptEnd.Broken })).toBeUndefined();
    expect(estimator.estimateStart({ ...stream, end: AttemptEnd.Failed })).toBeDefined();
  });

  // Guards against responses that waited in a replica's queue and are counted in a window before they
  // ran.
  it('subtracts the duration of a non-streamed response without a queue', () => {
    const estimator = new RunStartEstimator();
    for (let index = 0; index < 20; index += 1) {
      expect(estimator.estimateStart(NON_STREAMED)).toBe(1_000);
    }
    expect(estimator.estimateStart({ ...NON_STREAMED, endedAt: 1_500 })).toBe(1_480);
  });

  it('estimates a start unless the attempt was certainly not run', () => {
    const estimator = new RunStartEstimator();
    const hasStart = (end: AttemptEnd) =>
      estimator.estimateStart({ ...NON_STREAMED, end }) !== undefined;
    expect(Object.values(AttemptEnd).filter(hasStart)).toEqual([
      AttemptEnd.Completed,
      AttemptEnd.Failed,
      AttemptEnd.Broken,
      AttemptEnd.Unread,
      AttemptEnd.Cancelled,
    ]);
  });
});
