import { CorrectedLoad } from './CorrectedLoad.js';

const MAX_AGE = 10_000;

const report = (running: number, measuredAt: number) => ({
  replica: 'replica-1',
  running,
  waiting: 0,
  measuredAt,
});

describe('CorrectedLoad', () => {
  it('adds what was sent and takes off what ended since the report was measured', () => {
    // Symptom: every request goes to one replica for as long as its report lags. Sequence: it
    // reports idle, is sent ten, and the same report comes again. Cause: the report is believed.
    const load = new CorrectedLoad();
    load.apply(report(4, 0), 0);
    load.note(100, 1);
    load.note(200, 1);
    load.note(300, 1);
    load.note(400, -1);
    expect(load.get(500, 0, MAX_AGE)).toBe(6);
    load.apply(report(6, 250), 500);
    expect(load.get(500, 0, MAX_AGE)).toBe(6);
    expect(load.apply(report(0, 100), 500)).toBe(false);
    expect(load.get(500, 0, MAX_AGE)).toBe(6);
  });

  it('assumes that the others did in part the same', () => {
    const load = new CorrectedLoad();
    load.apply(report(4, 0), 0);
    load.note(100, 1);
    expect(load.get(100, 2, MAX_AGE)).toBe(7);
  });

  it('goes by its own requests without a report, or with one that is too old', () => {
    const load = new CorrectedLoad();
    load.note(0, 1);
    expect(load.get(0, 1, MAX_AGE)).toBe(2);
    load.apply(report(9, 0), 0);
    expect([load.get(MAX_AGE, 0, MAX_AGE), load.get(MAX_AGE + 1, 0, MAX_AGE)]).toEqual([9, 1]);
  });

  it('takes a report from the future as measured now', () => {
    const load = new CorrectedLoad();
    load.apply(report(3, 90_000), 10);
    load.note(20, 1);
    expect(load.get(20, 0, MAX_AGE)).toBe(4);
    expect(load.apply(report(5, 90_000), 30)).toBe(true);
  });
});
