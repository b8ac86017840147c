import { SlotTurnover } from './SlotTurnover.js';

describe('SlotTurnover', () => {
  it('measures how long requests hold their slots', () => {
    const turnover = new SlotTurnover(0);
    for (let now = 0; now < 20_000; now += 100) {
      // Five requests run, and one of them ends every 100 ms.
      turnover.update(now < 500 ? now / 100 : 4, now);
      turnover.recordBegin();
    }
    expect(turnover.hold).toBeGreaterThan(400);
    expect(turnover.hold).toBeLessThan(600);
  });

  it('counts requests that have not ended yet', () => {
    // Guards against long responses that count as short ones until the first has ended.
    const turnover = new SlotTurnover(0);
    turnover.recordBegin();
    turnover.update(1, 5_000);
    expect(turnover.hold).toBeGreaterThan(5_000);
  });
});
