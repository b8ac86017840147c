import { namedDeployments } from './deployments.js';
import { FleetSimulation } from './FleetSimulation.js';
import { getStarvedKinds } from './getStarvedKinds.js';
import type { RelayDeployment } from './RelayDeployment.js';
import { summariseDay } from './summariseDay.js';

const SECOND = 1_000;

/** Four times the usual traffic, from workspaces of two priorities. */
function createOverload(preferredShare: number, memoryTokens?: number): RelayDeployment {
  const papers = namedDeployments.papers!();
  return {
    ...papers,
    engines: { ...papers.engines, memoryTokens: memoryTokens ?? papers.engines.memoryTokens },
    workspaces: [
      { priority: 0, share: preferredShare },
      { priority: 1, share: 1 - preferredShare },
    ],
    bursts: [{ startsAt: 3 * SECOND, duration: 12 * SECOND, rateFactor: 4 }],
    duration: 18 * SECOND,
  };
}

describe('engines under four times the usual load', () => {
  // Guards against urgent requests without any response while less urgent ones of preferred workspaces
  // begin.
  it('starve no urgent kind in favor of a less urgent one', () => {
    const { calls } = new FleetSimulation(createOverload(0.5), 1).run();
    expect(getStarvedKinds(calls)).toEqual([]);
  });

  // Guards against urgent requests that are preempted while less urgent ones of preferred workspaces run.
  it('preempt no urgent request while a less urgent one runs on', () => {
    const result = new FleetSimulation(createOverload(0.1, 60_000), 1).run();
    const { preemptions, invertedPreemptions } = summariseDay(result);
    expect(preemptions).toBeGreaterThan(0);
    expect(invertedPreemptions).toBe(0);
  });
});

describe('engines whose slots are filled by the most urgent requests', () => {
  // Guards against urgent requests that wait at full engines while less urgent ones, which were queued at
  // other engines before, begin.
  it('starve no urgent kind in favor of a less urgent one', () => {
    const papers = namedDeployments.papers!();
    const burst = { startsAt: 2 * SECOND, duration: 12 * SECOND };
    const bursts = [
      { ...burst, rateFactor: 2.5 },
      { ...burst, rateFactor: 3, kind: 'help' },
    ];
    const deployment = { ...papers, bursts, duration: 15 * SECOND };
    const { calls } = new FleetSimulation(deployment, 2).run();
    expect(getStarvedKinds(calls)).toEqual([]);
  });
});
