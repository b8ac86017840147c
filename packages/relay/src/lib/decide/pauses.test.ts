import { createEngineService } from '../../test/fixtures.js';
import { getHarmProbability, getPauseSlack } from './pauses.js';
import { placementOptions } from './placementOptions.js';

const { engine } = createEngineService('llm');

function createSpeed(prefillRate: number, eventTokens: number) {
  return { profile: { ...engine!, eventTokens }, prefillRate, options: placementOptions };
}

describe('pauses', () => {
  it('stay within the target if an event is fast enough although each step prefills a chunk', () => {
    // Six steps of 22 ms for the chunk and 10 ms overhead: 192 ms, 220 with the margin.
    expect(getPauseSlack(1_000, createSpeed(93, 6))).toBeUndefined();
    expect(getPauseSlack(250, createSpeed(93, 6))).toBeUndefined();
    expect(getPauseSlack(undefined, createSpeed(10, 6))).toBeUndefined();
  });

  it('are at risk once the engine prefills for longer than an event may take', () => {
    const slack = getPauseSlack(250, createSpeed(50, 5))!;
    expect(slack).toBeGreaterThan(150);
    expect(slack).toBeLessThan(180);
    // Two chunks of a prompt do no harm, five do.
    expect(getHarmProbability(82, slack)).toBe(0);
    expect(getHarmProbability(205, slack)).toBe(1);
    const half = getHarmProbability(slack * 0.75, slack);
    expect(half).toBeGreaterThan(0.4);
    expect(half).toBeLessThan(0.6);
  });

  it('allow for at least one chunk, whatever the target', () => {
    expect(getPauseSlack(20, createSpeed(10, 5))).toBeCloseTo(204.8);
  });
});
