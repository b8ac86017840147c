import { WaitFit } from './WaitFit.js';

const SETUP = 8;

describe('WaitFit', () => {
  // Guards against a prefill rate that is several times too high because no short prompt was seen.
  it.each([1, 2, 0.5])('finds the setup time of engines that take %p ms for 40 tokens', (time) => {
    const fit = new WaitFit();
    for (let index = 0; index < 30; index += 1) {
      const tokensAhead = 4_000 * (1 + (index % 4));
      fit.record(tokensAhead, SETUP + (tokensAhead / 40) * time);
    }
    expect(fit.intercept).toBeCloseTo(SETUP);
  });

  it('is undefined while all samples have the same prefill time', () => {
    const fit = new WaitFit();
    Array.from({ length: 30 }).forEach(() => fit.record(100, 108));
    expect(fit.intercept).toBeUndefined();
  });

  it('is undefined after few samples', () => {
    const fit = new WaitFit();
    fit.record(100, 108);
    fit.record(200, 208);
    expect(fit.intercept).toBeUndefined();
  });
});
