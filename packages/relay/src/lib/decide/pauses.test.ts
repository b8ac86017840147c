import { createEngineService } from '../../test/fixtures.js';
import { getHarm, getPauseSlack } from './pauses.js';
import { placementOptions } from './placementOptions.js';

const { engine } = createEngineService('llm');

function getPace(readRate: number, eventTokens: number) {
  return { profile: { ...engine!, eventTokens }, readRate, options: placementOptions };
}

describe('pauses', () => {
  it('are safe where an event takes less than its target though every step reads', () => {
    // 22 ms a chunk and 10 beside it, six steps: 192 ms, with the margin 220.
    expect(getPauseSlack(1_000, getPace(93, 6))).toBeUndefined();
    expect(getPauseSlack(250, getPace(93, 6))).toBeUndefined();
    expect(getPauseSlack(undefined, getPace(10, 6))).toBeUndefined();
  });

  it('are in danger once the engine reads for longer than an event may last', () => {
    const slack = getPauseSlack(250, getPace(50, 5))!;
    expect(slack).toBeGreaterThan(150);
    expect(slack).toBeLessThan(180);
    // Two chunks of a prompt pass unnoticed, five don't.
    expect(getHarm(82, slack)).toBe(0);
    expect(getHarm(205, slack)).toBe(1);
    const half = getHarm(slack * 0.75, slack);
    expect(half).toBeGreaterThan(0.4);
    expect(half).toBeLessThan(0.6);
  });

  it('bear one chunk at least, whatever the target', () => {
    expect(getPauseSlack(20, getPace(10, 5))).toBeCloseTo(204.8);
  });
});
