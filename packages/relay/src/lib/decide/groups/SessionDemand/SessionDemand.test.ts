import { SessionDemand, sessionDemandOptions } from './SessionDemand.js';

const GROUPS = 8;

function record(demand: SessionDemand, id: string, count: number, now: number): void {
  for (let index = 0; index < count; index += 1) {
    demand.record(id, 'llm/a', now);
  }
}

describe('SessionDemand', () => {
  // Load pattern: a session gets half of the requests for a while.
  it('spreads a session over more groups as its share grows, and over fewer when it falls', () => {
    const demand = new SessionDemand();
    record(demand, 'calm', 20, 0);
    record(demand, 'hot', 20, 0);
    expect(demand.getSpread('hot', GROUPS, 0)).toBe(GROUPS / 2);
    const later = sessionDemandOptions.halfLife * 4;
    record(demand, 'calm', 40, later);
    expect(demand.getSpread('hot', GROUPS, later)).toBe(1);
    expect(demand.getSpread('unknown', GROUPS, later)).toBe(1);
  });

  it('does not spread a session because of few requests', () => {
    const demand = new SessionDemand();
    record(demand, 's', 1, 0);
    expect(demand.getSpread('s', GROUPS, 0)).toBe(1);
  });

  it('assumes that prompts of a session are cached for a while where it was sent', () => {
    const demand = new SessionDemand();
    record(demand, 's', 1, 0);
    const { cacheSpan } = sessionDemandOptions;
    expect(demand.isCached('s', 'llm/a', cacheSpan)).toBe(true);
    expect(demand.isCached('s', 'llm/b', cacheSpan)).toBe(false);
    expect(demand.isCached('s', 'llm/a', cacheSpan + 1)).toBe(false);
  });

  // Guards against memory that grows with each new session.
  it('forgets the sessions without requests for the longest time', () => {
    const demand = new SessionDemand();
    record(demand, 'first', 1, 0);
    record(demand, 'second', 1, 0);
    record(demand, 'first', 1, 0);
    for (let index = 1; index < sessionDemandOptions.maxSessions; index += 1) {
      record(demand, `s-${index}`, 1, 0);
    }
    expect(demand.isCached('first', 'llm/a', 0)).toBe(true);
    expect(demand.isCached('second', 'llm/a', 0)).toBe(false);
  });
});
