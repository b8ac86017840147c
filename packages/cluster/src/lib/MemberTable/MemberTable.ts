import { getHash } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { MemberRecord, RecordVersion } from '../Member.js';
import { isNewerRecord, isRunning, MemberState } from '../Member.js';

/** How many buckets the records are compared in. */
export const BUCKETS = 64;

/** A record and what only this daemon knows about its member. */
export interface MemberEntry {
  readonly record: MemberRecord;
  readonly stateSince: Milliseconds;
  /** Told by the member itself; 0 when it never did. */
  readonly generation: number;
}

/** The bucket a member is compared in. */
export function getBucket(id: string): number {
  return getHash(id) % BUCKETS;
}

/**
 * A record's share in its bucket's hash. Suspicion passes by itself and is left out; so are the
 * dead, who are forgotten at different times.
 */
function getRecordHash({ id, incarnation, refutation, state }: MemberRecord): number {
  const isLeaving = state === MemberState.Leaving;
  return isRunning(state) ? getHash(`${id} ${incarnation} ${refutation} ${isLeaving}`) : 0;
}

/**
 * The records of all daemons but this one, and the hashes by which two daemons find out cheaply in
 * what their views differ.
 */
export class MemberTable {
  private readonly entries = new Map<string, MemberEntry>();

  private readonly buckets: Set<string>[] = Array.from({ length: BUCKETS }, () => new Set());

  private readonly hashes = new Uint32Array(BUCKETS);

  private running = 0;

  private changes = 0;

  /** Grows with every change that others can see. */
  get version(): number {
    return this.changes;
  }

  /** How many members are not dead. */
  get runningCount(): number {
    return this.running;
  }

  get(id: string): MemberEntry | undefined {
    return this.entries.get(id);
  }

  values(): IterableIterator<MemberEntry> {
    return this.entries.values();
  }

  /** The records of one bucket. */
  getBucketRecords(bucket: number): MemberRecord[] {
    return [...this.buckets[bucket]!].map((id) => this.entries.get(id)!.record);
  }

  /**
   * Takes a record if it holds against the one known.
   *
   * @returns the record before it, or undefined when the member was unknown; `kept` when the one
   *   known holds
   */
  merge(record: MemberRecord, now: Milliseconds): MemberRecord | 'kept' | undefined {
    const entry = this.entries.get(record.id);
    if (entry !== undefined && !isNewerRecord(record, entry.record)) {
      return 'kept';
    }
    const before = entry?.record;
    this.set(record, entry, now);
    return before;
  }

  /** What a verdict on a member makes of its record; undefined when the member is unknown. */
  getJudged(id: string, version: RecordVersion): MemberRecord | undefined {
    const entry = this.entries.get(id);
    return entry && { ...entry.record, ...version };
  }

  /** Notes what a member itself told. */
  setGeneration(id: string, generation: number): void {
    const entry = this.entries.get(id);
    if (entry !== undefined && entry.generation !== generation) {
      this.entries.set(id, { ...entry, generation });
    }
  }

  forget(id: string): void {
    const entry = this.entries.get(id);
    if (entry !== undefined) {
      this.discount(entry.record);
      this.buckets[getBucket(id)]!.delete(id);
      this.entries.delete(id);
      this.changes += 1;
    }
  }

  /**
   * The hashes of all buckets, this daemon's own record included, as bytes.
   *
   * @param self - this daemon's own record
   */
  getBucketHashes(self: MemberRecord): Uint8Array {
    const hashes = new Uint32Array(this.hashes);
    const bucket = getBucket(self.id);
    // eslint-disable-next-line no-bitwise
    hashes[bucket] = (hashes[bucket]! ^ getRecordHash(self)) >>> 0;
    return new Uint8Array(hashes.buffer);
  }

  private set(record: MemberRecord, before: MemberEntry | undefined, now: Milliseconds): void {
    const isSameState =
      before?.record.state === record.state && before.record.incarnation === record.incarnation;
    if (before !== undefined) {
      this.discount(before.record);
    }
    const stateSince = isSameState ? before.stateSince : now;
    this.entries.set(record.id, { record, stateSince, generation: before?.generation ?? 0 });
    this.buckets[getBucket(record.id)]!.add(record.id);
    this.toggleHash(record);
    this.running += isRunning(record.state) ? 1 : 0;
    this.changes += 1;
  }

  private discount(record: MemberRecord): void {
    this.toggleHash(record);
    this.running -= isRunning(record.state) ? 1 : 0;
  }

  private toggleHash(record: MemberRecord): void {
    const bucket = getBucket(record.id);
    // eslint-disable-next-line no-bitwise
    this.hashes[bucket] = (this.hashes[bucket]! ^ getRecordHash(record)) >>> 0;
  }
}
