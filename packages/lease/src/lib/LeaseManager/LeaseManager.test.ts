import { advanceClock } from '@apricotrill/standins';
import { ManualClock } from '@apricotrill/utils';
import type { PlatformStore, StoredObject } from '@apricotrill/store';
import { LeaseManager } from './LeaseManager.js';

const free: StoredObject = {
  key: 'leases/x',
  value: '{"holder":"","holderIncarnation":"","fencingNumber":0,"grantedFor":0,"renewals":1}',
  version: 7,
};

describe('LeaseManager', () => {
  // Guards against a daemon that never contends for a lease again although the store is available:
  // one read on an unresponsive connection is never answered, and the lease has only one call in
  // flight.
  it('abandons a call that is never answered', async () => {
    const clock = new ManualClock();
    let reads = 0;
    let version = 7;
    const store = {
      get: async () => {
        reads += 1;
        return reads === 1 ? new Promise<undefined>(() => {}) : free;
      },
      put: async () => {
        version += 1;
        return { kind: 'accepted' as const, version };
      },
    } as unknown as PlatformStore;
    const lease = new LeaseManager({ self: 'daemon-1', clock, store, name: 'x' });
    const numbers: (number | undefined)[] = [];
    lease.onChange((fencingNumber) => numbers.push(fencingNumber));
    await advanceClock(clock, 10_000);
    expect(numbers).toEqual([8]);
    lease.dispose();
    expect(lease.isHeld()).toBe(false);
  });
});
