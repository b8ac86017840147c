import { drawDeployment, namedDeployments } from './deployments.js';
import { FleetSimulation } from './FleetSimulation.js';
import { summariseDay } from './summariseDay.js';

function simulate(name: string, seed: number) {
  return summariseDay(new FleetSimulation(namedDeployments[name]!(), seed).run());
}

describe('FleetSimulation', () => {
  it('gives identical results for the same seed', () => {
    expect(simulate('drafts', 3)).toEqual(simulate('drafts', 3));
  });

  it('accounts for every call and prefills fewer tokens than were requested', () => {
    const result = new FleetSimulation(namedDeployments.drafts!(), 1).run();
    const { kinds, prefilledTokens: readTokens } = summariseDay(result);
    expect(kinds.reduce((sum, { calls }) => sum + calls, 0)).toBe(result.calls.length);
    const requested = result.calls.reduce((sum, { prompt }) => sum + (prompt?.inputTokens ?? 0), 0);
    expect(readTokens).toBeLessThan(requested);
  });

  // Guards against a prefill rate that is assumed instead of learned: engines that prefill 90 tokens
  // per millisecond were taken to prefill 40, so all but one were reserved for prefill. The responses
  // to short questions crowded the last engine, a fifth paused too long and 78 in 100 were in time over
  // these seeds; with the learned rate, 90 in 100 are.
  it('serves short questions in time during bursts of long prompts', () => {
    const shares = [1, 2, 3, 4].map((seed) => {
      const help = simulate('papers', seed).kinds.find(({ name }) => name === 'help')!;
      return help.inTime / help.calls;
    });
    expect(shares.reduce((sum, share) => sum + share, 0) / shares.length).toBeGreaterThan(0.87);
  });

  it('predicts the time to the first token with a median error below a quarter', () => {
    ['papers', 'drafts'].forEach((name) => {
      expect(simulate(name, 1).predictionError).toBeLessThan(0.25);
    });
  });

  // 3 to 24 engines that prefill 10 to 300 tokens per millisecond; targets from a quarter of a second
  // to several seconds.
  it('serves randomly drawn deployments', () => {
    const days = [1, 2, 3, 4].map((seed) =>
      summariseDay(new FleetSimulation(drawDeployment(seed), seed).run()),
    );
    days.forEach(({ worth }) => expect(worth).toBeGreaterThan(0.6));
    const mean = days.reduce((sum, { worth }) => sum + worth, 0) / days.length;
    expect(mean).toBeGreaterThan(0.8);
  });
});
