import { LoadEstimate } from './LoadEstimate.js';

const MAX_REPORT_AGE_MS = 10_000;

const createReport = (running: number, measuredAt: number) => ({
  replica: 'replica-1',
  running,
  waiting: 0,
  measuredAt,
});

describe('LoadEstimate', () => {
  it('adds requests sent and subtracts requests ended since the report was measured', () => {
    // Guards against sending every request to one replica while its report lags: it reports idle,
    // is sent ten requests, and the same report arrives again. An old report must not be trusted.
    const load = new LoadEstimate();
    load.applyReport(createReport(4, 0), 0);
    load.recordChange(100, 1);
    load.recordChange(200, 1);
    load.recordChange(300, 1);
    load.recordChange(400, -1);
    expect(load.getEstimate(500, 0, MAX_REPORT_AGE_MS)).toBe(6);
    load.applyReport(createReport(6, 250), 500);
    expect(load.getEstimate(500, 0, MAX_REPORT_AGE_MS)).toBe(6);
    expect(load.applyReport(createReport(0, 100), 500)).toBe(false);
    expect(load.getEstimate(500, 0, MAX_REPORT_AGE_MS)).toBe(6);
  });

  it('assumes that the other daemons made part of the same change', () => {
    const load = new LoadEstimate();
    load.applyReport(createReport(4, 0), 0);
    load.recordChange(100, 1);
    expect(load.getEstimate(100, 2, MAX_REPORT_AGE_MS)).toBe(7);
  });

  it('uses only its own requests when there is no report or it is too old', () => {
    const load = new LoadEstimate();
    load.recordChange(0, 1);
    expect(load.getEstimate(0, 1, MAX_REPORT_AGE_MS)).toBe(2);
    load.applyReport(createReport(9, 0), 0);
    expect([
      load.getEstimate(MAX_REPORT_AGE_MS, 0, MAX_REPORT_AGE_MS),
      load.getEstimate(MAX_REPORT_AGE_MS + 1, 0, MAX_REPORT_AGE_MS),
    ]).toEqual([9, 1]);
  });

  it('treats a report from the future as measured now', () => {
    const load = new LoadEstimate();
    load.applyReport(createReport(3, 90_000), 10);
    load.recordChange(20, 1);
    expect(load.getEstimate(20, 0, MAX_REPORT_AGE_MS)).toBe(4);
    expect(load.applyReport(createReport(5, 90_000), 30)).toBe(true);
  });
});
