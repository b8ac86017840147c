import { advanceClock } from '@apricotrill/standins';
import { ManualClock } from '@apricotrill/utils';
import { ObjectStore } from '@apricotrill/store';
import type { PlatformStore, StoredObject } from '@apricotrill/store';
import { LeaseManager } from './LeaseManager.js';
import type { LeaseSettings, LeaseStore } from './LeaseManager.js';

function throwFault(error: unknown): never {
  throw error;
}

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
    const lease = new LeaseManager({
      self: 'daemon-1',
      clock,
      store,
      name: 'x',
      onFault: throwFault,
    });
    const numbers: (number | undefined)[] = [];
    lease.onChange((fencingNumber) => numbers.push(fencingNumber));
    await advanceClock(clock, 10_000);
    expect(numbers).toEqual([8]);
    lease.dispose();
    expect(lease.isHeld()).toBe(false);
  });

  /** Creates a manager of a lease that is free, and records what it reports. */
  function createManager(settings: Pick<LeaseSettings, 'getRank'> = {}) {
    const clock = new ManualClock();
    const objects = new ObjectStore(clock);
    const store: LeaseStore = {
      get: async (key) => objects.get(key),
      put: async (key, value, expected) => objects.put(key, value, expected),
    };
    const faults: unknown[] = [];
    const onFault = (error: unknown) => faults.push(error);
    const common = { self: 'daemon-1', clock, store, name: 'x', onFault };
    return { clock, faults, lease: new LeaseManager({ ...common, ...settings }) };
  }

  // Guards against a daemon that holds a lease of which those that act by it never learn.
  it('informs all listeners, whichever of them fails', async () => {
    const { clock, faults, lease } = createManager();
    const numbers: (number | undefined)[] = [];
    lease.onChange(() => {
      throw new Error('provoked error');
    });
    lease.onChange((fencingNumber) => numbers.push(fencingNumber));
    await advanceClock(clock, 60_000);
    expect(lease.isHeld()).toBe(true);
    expect(numbers).toEqual([expect.any(Number)]);
    expect(faults).toHaveLength(1);
    lease.dispose();
  });

  // Guards against a daemon that neither renews its lease nor contends for it any more.
  it('goes on after an error in a tick', async () => {
    let failures = 0;
    const getRank = () => {
      if (failures > 0) {
        failures -= 1;
        throw new Error('provoked error');
      }
      return 0;
    };
    const { clock, faults, lease } = createManager({ getRank });
    await advanceClock(clock, 60_000);
    expect(lease.isHeld()).toBe(true);
    failures = 1;
    await advanceClock(clock, 60_000);
    expect(failures).toBe(0);
    expect(lease.isHeld()).toBe(true);
    expect(faults).toHaveLength(1);
    lease.dispose();
  });
});
