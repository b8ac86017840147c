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

  // Guards against requests that are refused for what others took that have ended.
  it('releases what requests took beyond the count as they end', () => {
    const estimate = new HeapEstimate();
    estimate.recordCollection(20, 0);
    estimate.recordCollection(120, 40);
    expect(estimate.get(50)).toBe(130);
    expect(estimate.get(40)).toBe(120);
    expect(estimate.get(20)).toBe(70);
    expect(estimate.get(0)).toBe(20);
  });

  // Guards against a daemon that takes on more than it can hold as it needs more itself than at its start.
  it('estimates what a collection has left once as much is held again', () => {
    const estimate = new HeapEstimate();
    estimate.recordCollection(20, 0);
    estimate.recordCollection(120, 40);
    estimate.get(0);
    expect(estimate.get(40)).toBe(120);
  });

  it('takes what is in use while nothing is held as needed by the daemon itself', () => {
    const estimate = new HeapEstimate();
    estimate.recordCollection(20, 0);
    estimate.recordCollection(60, 0);
    expect(estimate.get(10)).toBe(70);
    estimate.recordCollection(100, 20);
    expect(estimate.get(10)).toBe(80);
    expect(estimate.get(0)).toBe(60);
  });
});
