import { ManualClock } from '@apricotrill/utils';
import { routerOptions } from '../../options.js';
import { ProgressReport } from '../ProgressReporter/ProgressReporter.js';

describe('ProgressReport', () => {
  function setUp() {
    const clock = new ManualClock();
    const told: number[] = [];
    const report = new ProgressReport(clock, (tokens) => told.push(tokens));
    return { clock, told, report };
  }

  it('tells of the first token at once, and of all others in time', () => {
    const { clock, told, report } = setUp();
    report.add(1);
    report.add(1);
    clock.advance(routerOptions.progressInterval - 1);
    report.add(2);
    expect(told).toEqual([1]);
    clock.advance(1);
    report.add(1);
    expect(told).toEqual([1, 4]);
  });

  // Symptom: a resumed answer is believed shorter than it is, or an attempt that gave tokens not
  // to have begun. Sequence: the attempt breaks shortly after a report. Cause: its last tokens told
  // to nobody.
  it('tells of the last tokens before the end', () => {
    const { told, report } = setUp();
    report.add(1);
    report.add(3);
    report.end();
    report.end();
    expect(told).toEqual([1, 3]);
  });

  it('says that an attempt is alive that only waits for its caller', () => {
    const { clock, told, report } = setUp();
    report.add(1);
    clock.advance(routerOptions.progressInterval);
    report.add(0);
    expect(told).toEqual([1, 0]);
  });
});
