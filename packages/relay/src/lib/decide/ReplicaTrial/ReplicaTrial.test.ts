import { ReplicaTrial, trialOptions } from './ReplicaTrial.js';

const CHOICES = 10_000;

/** Chooses replicas that are due, else the first one. @returns how often each replica was chosen */
function choose(replicas: number): number[] {
  const trials = Array.from({ length: replicas }, () => new ReplicaTrial());
  const counts = trials.map(() => 0);
  for (let choice = 0; choice < CHOICES; choice += 1) {
    const due = trials.findIndex(({ isDue }) => isDue);
    const chosen = Math.max(0, due);
    counts[chosen]! += 1;
    trials.forEach((trial, index) => {
      if (index === chosen) {
        trial.recordChosen();
      } else {
        trial.recordPassedOver(replicas);
      }
    });
  }
  return counts;
}

describe('ReplicaTrial', () => {
  // Guards against callers whose requests are spent on replicas that are known to be slow.
  it.each([2, 3, 8, 100])('spends at most one in sixteen requests: %d replicas', (replicas) => {
    const trials = choose(replicas)
      .slice(1)
      .reduce((sum, count) => sum + count, 0);
    expect(trials / CHOICES).toBeLessThanOrEqual(1 / trialOptions.missedShares);
  });

  it.each([2, 3, 8, 100])('tries each replica: %d replicas', (replicas) => {
    const least = CHOICES / ((trialOptions.missedShares + 1) * replicas) - 1;
    choose(replicas).forEach((count) => expect(count).toBeGreaterThanOrEqual(Math.floor(least)));
  });

  it('tries a replica once, and again only after it was passed over as often', () => {
    const trial = new ReplicaTrial();
    const passOver = () => {
      for (let index = 0; index < trialOptions.missedShares * 4; index += 1) {
        trial.recordPassedOver(4);
      }
    };
    passOver();
    expect({ isDue: trial.isDue, round: trial.round }).toEqual({ isDue: true, round: 1 });
    trial.recordChosen();
    expect({ isDue: trial.isDue, round: trial.round }).toEqual({ isDue: false, round: 1 });
    passOver();
    expect({ isDue: trial.isDue, round: trial.round }).toEqual({ isDue: true, round: 2 });
  });
});
