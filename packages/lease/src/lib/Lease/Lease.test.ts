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

/** A lease that was free: its first look is answered at once. */
function lookAt(lease: Lease, object: StoredObject | undefined, now: number): LeaseEffect[] {
  const [read] = lease.handle({ kind: 'tick', rank: 0 }, now);
  if (read?.kind !== 'read') {
    throw new Error('no read');
  }
  return lease.handle({ kind: 'read-answered', attempt: read.attempt, object }, now);
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
  /*
   * Symptom: two daemons hold a lease at once.
   * Sequence: the grant's answer takes 9 s; the holder counts its term from the answer.
   * Cause: others count from when they see the write, which may lie 9 s before the answer.
   */
  it('counts its term from before the write was sent, less the margin', () => {
    const lease = createLease();
    const { attempt } = getWrite(lookAt(lease, free, 0));
    const outcome = { kind: 'accepted' as const, version: 8 };
    lease.handle({ kind: 'write-answered', attempt, outcome }, 9_000);
    expect(lease.getFencingNumber(9_000)).toBe(8);
    expect(lease.isHeld(options.span - options.margin - 1)).toBe(true);
    expect(lease.isHeld(options.span - options.margin)).toBe(false);
  });

  /*
   * Symptom: nobody holds a lease that was granted, or its term is counted from the read.
   * Sequence: the write that takes the lease is accepted, its answer is lost, the object is read.
   * Cause: the holder didn't recognise its own write.
   */
  it('finds a grant whose answer was lost by reading back', () => {
    const lease = createLease();
    const { attempt, value } = getWrite(lookAt(lease, free, 0));
    const [read] = lease.handle({ kind: 'call-failed', attempt }, 3_000);
    expect(read?.kind).toBe('read');
    const object = { ...free, value, version: 8 };
    lease.handle({ kind: 'read-answered', attempt: attempt + 1, object }, 3_010);
    expect(lease.getFencingNumber(3_010)).toBe(8);
    expect(lease.isHeld(options.span - options.margin)).toBe(false);
  });

  /*
   * Symptom: a holder counts its term from a write that never took effect, and holds too long.
   * Sequence: a grant is given up after its timeout, and reading back shows nothing; a second write
   * is under way when the first, which landed late, is confirmed.
   * Cause: an answer was taken without asking which call it belongs to.
   */
  it('drops the answer to a call that was given up', () => {
    const lease = createLease();
    const { attempt } = getWrite(lookAt(lease, free, 0));
    lease.handle({ kind: 'call-failed', attempt }, 3_000);
    lease.handle({ kind: 'read-answered', attempt: attempt + 1, object: free }, 3_010);
    getWrite(lease.handle({ kind: 'tick', rank: 0 }, 4_000));
    const outcome = { kind: 'accepted' as const, version: 8 };
    lease.handle({ kind: 'write-answered', attempt, outcome }, 5_000);
    expect(lease.isHeld(5_000)).toBe(false);
  });

  /*
   * Symptom: a stand-by takes a lease that is being renewed.
   * Sequence: the holder renews each 5 s, and the stand-by sees a new version each time.
   * Cause: it counted the span from its first look and not from when the version last moved.
   */
  it('takes over only after the version has not moved for the whole span', () => {
    const stood = createLease('daemon-2');
    const { value } = getWrite(lookAt(createLease(), free, 0));
    lookAt(stood, { ...free, value, version: 8 }, 0);
    lookAt(stood, { ...free, value, version: 9 }, 10_000);
    expect(lookAt(stood, { ...free, value, version: 9 }, 20_000)[0]?.kind).toBe('wake');
    expect(stood.handle({ kind: 'tick', rank: 0 }, 24_999)[0]?.kind).toBe('wake');
    expect(stood.handle({ kind: 'tick', rank: 0 }, 25_000)[0]?.kind).toBe('write');
  });

  /*
   * Symptom: two daemons hold a lease whose object somebody deleted.
   * Sequence: a stand-by sees no object; a holder creates it, and it is deleted again; the stand-by
   * still sees none and takes the lease.
   * Cause: absence was watched like a version, but it is the same absence before and after.
   */
  it('writes a vacancy where there is no object, and watches that', () => {
    const lease = createLease();
    const vacancy = getWrite(lookAt(lease, undefined, 0));
    expect(JSON.parse(vacancy.value)).toMatchObject({ holder: '', grantedFor: options.span });
    const outcome = { kind: 'accepted' as const, version: 8 };
    lease.handle({ kind: 'write-answered', attempt: vacancy.attempt, outcome }, 10);
    expect(lease.isHeld(10)).toBe(false);
    const object = { key: '', value: vacancy.value, version: 8 };
    const grant = getWrite(lookAt(lease, object, 10 + options.span));
    expect(JSON.parse(grant.value)).toMatchObject({ holder: 'daemon-1' });
  });

  /*
   * Symptom: after a rolling restart one daemon keeps every duty.
   * Sequence: the preferred daemon is back, and the holder keeps renewing.
   * Cause: a lease in hand was never given back.
   */
  it('releases a lease that another daemon has been preferred for long enough', () => {
    const lease = createLease();
    const { attempt } = getWrite(lookAt(lease, free, 0));
    const outcome = { kind: 'accepted' as const, version: 8 };
    lease.handle({ kind: 'write-answered', attempt, outcome }, 5);
    lease.handle({ kind: 'tick', rank: 1 }, 10);
    expect(lease.isHeld(10)).toBe(true);
    const release = getWrite(lease.handle({ kind: 'tick', rank: 1 }, 10 + options.yieldAfter));
    expect(JSON.parse(release.value)).toMatchObject({ holder: '', grantedFor: 0 });
    const accepted = { kind: 'accepted' as const, version: 9 };
    const now = 10 + options.yieldAfter;
    lease.handle({ kind: 'write-answered', attempt: release.attempt, outcome: accepted }, now);
    const [effect] = lease.handle({ kind: 'tick', rank: 1 }, now + options.candidateDelay);
    expect(effect).toEqual({ kind: 'wake', at: now + options.span });
  });
});
