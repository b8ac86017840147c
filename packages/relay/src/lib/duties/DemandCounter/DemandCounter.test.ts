import { DemandCounter } from './DemandCounter.js';

const SERVICE = 'llm';

describe('DemandCounter', () => {
  it('counts what was sent within the window, and what still runs', () => {
    const counter = new DemandCounter();
    counter.recordSent(SERVICE, 4_000, 0);
    counter.recordSent(SERVICE, 2_000, 1_500);
    counter.recordEnded(SERVICE);
    expect(counter.getDemand(1_600)).toEqual([
      { service: SERVICE, tokensPerSecond: 3_000, running: 1 },
    ]);
    expect(counter.getDemand(2_500)).toEqual([
      { service: SERVICE, tokensPerSecond: 1_000, running: 1 },
    ]);
  });

  // Guards against a service in overload for which no replicas are ordered, since what is refused is
  // never sent.
  it('counts what was refused as demand, also if nothing was sent', () => {
    const counter = new DemandCounter();
    counter.recordRefused(SERVICE, { fingerprint: 'a', inputTokens: 4_000 }, 0);
    counter.recordRefused(SERVICE, { fingerprint: 'b', inputTokens: 2_000 }, 100);
    expect(counter.getDemand(200)).toEqual([
      { service: SERVICE, tokensPerSecond: 3_000, running: 0 },
    ]);
    expect(counter.getDemand(2_200)).toEqual([]);
  });

  // Guards against orders for callers that return often: each asks for the same work again.
  it('counts a caller that returns after a refusal once', () => {
    const counter = new DemandCounter();
    [0, 300, 600].forEach((at) => {
      counter.recordRefused(SERVICE, { fingerprint: 'a', inputTokens: 4_000 }, at);
    });
    expect(counter.getDemand(700)).toEqual([
      { service: SERVICE, tokensPerSecond: 2_000, running: 0 },
    ]);
  });
});
