import type { StoredObject } from '@apricotrill/store';
import { defaultLeaseOptions } from '../leaseOptions.js';
import { Lease } from './Lease.js';
import type { LeaseEffect } from './leaseMessages.js';

const options = defaultLeaseOptions;

function createLease(self = 'daemon-1'): Lease {
  return new Lease({ self, incarnation: '1', options });
}

function getWrite(effects: LeaseEffect[]): Extract<LeaseEffect, { kind: 'write' }> {
  const write = effects.find((effect) => effect.kind === 'write');
  if (write === undefined) {
    throw new Error(`no write among ${JSON.stringify(effects)}`);
  }
  return write;
}

/** Lets the lease read the object, with an immediate response. */
function readObject(lease: Lease, object: StoredObject | undefined, now: number): LeaseEffect[] {
  const [read] = lease.handle({ kind: 'tick', rank: 0 }, now);
  if (read?.kind !== 'read') {
    throw new Error('no read');
  }
  return lease.handle({ kind: 'read-completed', attempt: read.attempt, object }, now);
}

const released = JSON.stringify({
  holder: '',
  holderIncarnation: '',
  fencingNumber: 0,
  grantedFor: 0,
  renewals: 1,
});
const free: StoredObject = { key: 'leases/x', value: released, version: 7 };

describe('Lease', () => {
  // Guards against two holders at once: the response to a grant takes 9 s and the holder counts its
  // term from the response, while others count from the write, up to 9 s earlier.
  it('counts its term from before the write was sent, minus the safety margin', () => {
    const lease = createLease();
    const { attempt } = getWrite(readObject(lease, free, 0));
    const result = { kind: 'accepted' as const, version: 8 };
    lease.handle({ kind: 'write-completed', attempt, result }, 9_000);
    expect(lease.getFencingNumber(9_000)).toBe(8);
    expect(lease.isHeld(options.duration - options.safetyMargin - 1)).toBe(true);
    expect(lease.isHeld(options.duration - options.safetyMargin)).toBe(false);
  });

  // Guards against a holder that does not recognise its own write after the response was lost:
  // nobody holds the granted lease, or its term is counted from the read.
  it('detects a grant whose response was lost by reading it back', () => {
    const lease = createLease();
    const { attempt, value } = getWrite(readObject(lease, free, 0));
    const [read] = lease.handle({ kind: 'call-failed', attempt }, 3_000);
    expect(read?.kind).toBe('read');
    const object = { ...free, value, version: 8 };
    lease.handle({ kind: 'read-completed', attempt: attempt + 1, object }, 3_010);
    expect(lease.getFencingNumber(3_010)).toBe(8);
    expect(lease.isHeld(options.duration - options.safetyMargin)).toBe(false);
  });

  // Guards against a late response that is attributed to the wrong call. A first write times out
  // and reading back shows nothing; while a second write is in flight, the first one is confirmed.
  // The holder would count its term from a write that never took effect, and hold the lease too
  // long.
  it('ignores the response to an abandoned call', () => {
    const lease = createLease();
    const { attempt } = getWrite(readObject(lease, free, 0));
    lease.handle({ kind: 'call-failed', attempt }, 3_000);
    lease.handle({ kind: 'read-completed', attempt: attempt + 1, object: free }, 3_010);
    getWrite(lease.handle({ kind: 'tick', rank: 0 }, 4_000));
    const result = { kind: 'accepted' as const, version: 8 };
    lease.handle({ kind: 'write-completed', attempt, result }, 5_000);
    expect(lease.isHeld(5_000)).toBe(false);
  });

  // Guards against a candidate that takes a lease although the holder renews it every 5 s, because
  // it counts the lease duration from its first read instead of from the last change of the
  // version.
  it('takes over only after the version has not changed for the whole lease duration', () => {
    const standby = createLease('daemon-2');
    const { value } = getWrite(readObject(createLease(), free, 0));
    readObject(standby, { ...free, value, version: 8 }, 0);
    readObject(standby, { ...free, value, version: 9 }, 10_000);
    expect(readObject(standby, { ...free, value, version: 9 }, 20_000)[0]?.kind).toBe('wake');
    expect(standby.handle({ kind: 'tick', rank: 0 }, 24_999)[0]?.kind).toBe('wake');
    expect(standby.handle({ kind: 'tick', rank: 0 }, 25_000)[0]?.kind).toBe('write');
  });

  // Guards against two holders after the object was deleted. A candidate reads no object; a holder
  // creates it and it is deleted again; the candidate still reads none. A missing object has no
  // version, so the candidate cannot tell that anything changed.
  it('writes a vacant record if there is no object, and waits for it to expire', () => {
    const lease = createLease();
    const vacancy = getWrite(readObject(lease, undefined, 0));
    expect(JSON.parse(vacancy.value)).toMatchObject({ holder: '', grantedFor: options.duration });
    const result = { kind: 'accepted' as const, version: 8 };
    lease.handle({ kind: 'write-completed', attempt: vacancy.attempt, result }, 10);
    expect(lease.isHeld(10)).toBe(false);
    const object = { key: '', value: vacancy.value, version: 8 };
    const grant = getWrite(readObject(lease, object, 10 + options.duration));
    expect(JSON.parse(grant.value)).toMatchObject({ holder: 'daemon-1' });
  });

  // Guards against one daemon that keeps all leases after a rolling restart: the preferred
  // candidate is back, but the holder keeps renewing and never releases the lease.
  it('releases the lease after another candidate has been preferred for long enough', () => {
    const lease = createLease();
    const { attempt } = getWrite(readObject(lease, free, 0));
    const result = { kind: 'accepted' as const, version: 8 };
    lease.handle({ kind: 'write-completed', attempt, result }, 5);
    lease.handle({ kind: 'tick', rank: 1 }, 10);
    expect(lease.isHeld(10)).toBe(true);
    const release = getWrite(lease.handle({ kind: 'tick', rank: 1 }, 10 + options.yieldAfter));
    expect(JSON.parse(release.value)).toMatchObject({ holder: '', grantedFor: 0 });
    const accepted = { kind: 'accepted' as const, version: 9 };
    const now = 10 + options.yieldAfter;
    lease.handle({ kind: 'write-completed', attempt: release.attempt, result: accepted }, now);
    const [effect] = lease.handle({ kind: 'tick', rank: 1 }, now + options.candidateDelay);
    expect(effect).toEqual({ kind: 'wake', at: now + options.duration });
  });
});
