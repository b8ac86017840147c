import { admissionOptions } from '../admissionOptions.js';
import { RefusedRequests } from './RefusedRequests.js';

const { refusedMemory } = admissionOptions;

function createRefused(maxRefused = 10): RefusedRequests {
  return new RefusedRequests({ maxRefused, refusedMemory });
}

describe('RefusedRequests', () => {
  it('keeps the first arrival over several refusals', () => {
    const refused = createRefused();
    refused.record({ fingerprint: 'f', firstArrivedAt: 5, retryAfter: 100 }, 10);
    refused.record({ fingerprint: 'f', firstArrivedAt: 150, retryAfter: 100 }, 160);
    expect(refused.getFirstArrival('f', 260)).toBe(5);
    expect(refused.getFirstArrival('other', 260)).toBeUndefined();
  });

  it('gives no advantage to a caller that returns too early', () => {
    // Guards against callers that repeat at once and pass those that wait as long as they were asked to.
    const refused = createRefused();
    refused.record({ fingerprint: 'f', firstArrivedAt: 0, retryAfter: 100 }, 0);
    expect(refused.getFirstArrival('f', 50)).toBeUndefined();
    expect(refused.getFirstArrival('f', 100)).toBe(0);
  });

  it('forgets requests that began, the oldest beyond the bound, and outdated ones', () => {
    // Guards against memory that grows with each refusal.
    const refused = createRefused(2);
    ['a', 'b', 'c'].forEach((fingerprint, index) =>
      refused.record({ fingerprint, firstArrivedAt: index, retryAfter: 0 }, index),
    );
    refused.remove('b');
    expect(['a', 'b', 'c'].map((each) => refused.getFirstArrival(each, 10))).toEqual([
      undefined,
      undefined,
      2,
    ]);
    expect(refused.getFirstArrival('c', 2 + refusedMemory + 1)).toBeUndefined();
  });
});
