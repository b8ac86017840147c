import { HeapEstimate } from './HeapEstimate.js';

describe('HeapEstimate', () => {
  it('adds what is held since the last collection to what that has left', () => {
    const estimate = new HeapEstimate();
    estimate.recordCollection(30, 10);
    expect(estimate.get(10)).toBe(30);
    expect(estimate.get(25)).toBe(45);
    expect(estimate.get(0)).toBe(20);
  });

  // Guards against requests that need more, or less, than is counted for them.
  it('follows what collections leave', () => {
    const estimate = new HeapEstimate();
    estimate.recordCollection(30, 10);
    estimate.recordCollection(90, 20);
    expect(estimate.get(20)).toBe(90);
    estimate.recordCollection(10, 20);
    expect(estimate.get(20)).toBe(10);
  });
});
