import { ManualClock } from '@apricotrill/utils';
import { defaultRouterOptions } from '../../options.js';
import { ProgressReporter } from './ProgressReporter.js';

describe('ProgressReporter', () => {
  function setUp() {
    const clock = new ManualClock();
    const reported: number[] = [];
    const reporter = new ProgressReporter(clock, (tokens) => reported.push(tokens));
    return { clock, reported, reporter };
  }

  it('reports the first token immediately and later ones once per interval', () => {
    const { clock, reported, reporter } = setUp();
    reporter.add(1);
    reporter.add(1);
    clock.advance(defaultRouterOptions.progressInterval - 1);
    reporter.add(2);
    expect(reported).toEqual([1]);
    clock.advance(1);
    reporter.add(1);
    expect(reported).toEqual([1, 4]);
  });

  // Guards against losing the tokens delivered between the last report and the end of an attempt: the
  // scheduler would believe a resumed response to be shorter than it is, or that the attempt never
  // delivered anything.
  it('reports the last tokens before the end', () => {
    const { reported, reporter } = setUp();
    reporter.add(1);
    reporter.add(3);
    reporter.end();
    reporter.end();
    expect(reported).toEqual([1, 3]);
  });

  it('reports an attempt that only waits for its caller as alive', () => {
    const { clock, reported, reporter } = setUp();
    reporter.add(1);
    clock.advance(defaultRouterOptions.progressInterval);
    reporter.add(0);
    expect(reported).toEqual([1, 0]);
  });
});
