import { ReplicaTrial, trialOptions } from '../ReplicaTrial/ReplicaTrial.js';
import { MeasuredLatency } from './MeasuredLatency.js';

describe('MeasuredLatency', () => {
  it('follows the latency of the requests', () => {
    const latency = new MeasuredLatency(new ReplicaTrial());
    for (let index = 0; index < 60; index += 1) {
      latency.record(30);
    }
    expect(latency.value).toBeCloseTo(30, 1);
  });

  it('forgets what was measured before a trial', () => {
    const trial = new ReplicaTrial();
    const latency = new MeasuredLatency(trial);
    latency.record(2_000);
    for (let index = 0; index <= trialOptions.missedShares * 2; index += 1) {
      trial.recordPassedOver(2);
    }
    latency.record(30);
    expect(latency.value).toBeCloseTo(30, 6);
  });
});
