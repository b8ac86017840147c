import { ReportedLoad } from './ReportedLoad.js';

describe('ReportedLoad', () => {
  it('counts requests that no daemon has announced, less as the report ages', () => {
    const load = new ReportedLoad(1_000);
    expect(load.getUnannounced(0)).toBe(0);
    load.record({ running: 6, waiting: 4, slots: 6 }, 100, 2);
    expect(load.getUnannounced(100)).toBe(8);
    expect(load.getUnannounced(1_100)).toBe(4);
    expect(load.getWaiting(1_100)).toBe(2);
  });

  it('counts none where more requests are known than reported', () => {
    const load = new ReportedLoad(1_000);
    load.record({ running: 1, waiting: 0, slots: 6 }, 0, 3);
    expect(load.getUnannounced(0)).toBe(0);
  });
});
