import { CallEnd, createCallRecord } from '../simulation/CallRecord.js';
import type { CallRecord } from '../simulation/CallRecord.js';
import type { Call } from '../workload/Call.js';
import { getLongestDrought } from './getLongestDrought.js';

function createRecord(arrived: number, changes: Partial<CallRecord>): CallRecord {
  const serviceClass = {
    name: 'draft',
    tier: 4,
    target: { firstToken: 1000, tokenGap: 100 },
    deadline: 5000,
    floor: 0.1,
    preemptible: true,
    repeatable: true,
  };
  const call: Call = {
    id: `${arrived}`,
    className: 'draft',
    service: 'model',
    workspace: 'shop',
    arrived,
    work: { kind: 'plain', serviceTime: 1 },
    route: 0,
  };
  return { ...createCallRecord(call, serviceClass), ...changes };
}

describe('getLongestDrought', () => {
  it('counts only time in which a call waits', () => {
    const records = [
      createRecord(0, { firstTokenAt: 10 }),
      createRecord(1000, { firstTokenAt: 1020 }),
    ];
    expect(getLongestDrought(records, 2000)).toBe(20);
  });

  it('goes on through refusals and to the end for calls still open', () => {
    const records = [
      createRecord(0, { settledAt: 300, end: CallEnd.GivenUp }),
      createRecord(100, { firstTokenAt: 500 }),
      createRecord(450, {}),
    ];
    expect(getLongestDrought(records, 800)).toBe(500);
    expect(getLongestDrought(records, 2000)).toBe(1500);
  });
});
