import { getHash } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { MemberRecord, RecordVersion } from '../Member.js';
import { isNewerRecord, isRunning, MemberState } from '../Member.js';

/** The number of buckets that records are hashed into for anti-entropy. */
export const BUCKET_COUNT = 64;

/** A member's record with what this daemon keeps locally about it. */
export interface MemberEntry {
  readonly record: MemberRecord;
  readonly stateSince: Milliseconds;
  /** The configuration generation that the member itself last reported; 0 if it never did. */
  readonly generation: number;
}

/** The index of the bucket that a member belongs to. */
export function getBucketIndex(id: string): number {
  return getHash(id) % BUCKET_COUNT;
}

/**
 * A record's contribution to its bucket's hash. Suspicion is left out because it is temporary, and
 * dead members because daemons evict them at different times.
 */
function getRecordHash({ id, incarnation, refutation, state }: MemberRecord): number {
  const isLeaving = state === MemberState.Leaving;
  return isRunning(state) ? getHash(`${id} ${incarnation} ${refutation} ${isLeaving}`) : 0;
}

/**
 * The records of all daemons except this one, with bucket hashes that let two daemons find out
 * cheaply where their views differ.
 */
export class MemberTable {
  private readonly entries = new Map<string, MemberEntry>();

  private readonly buckets: Set<string>[] = Array.from({ length: BUCKET_COUNT }, () => new Set());

  private readonly hashes = new Uint32Array(BUCKET_COUNT);

  private running = 0;

  private changeCount = 0;

  /** Increases with every added, changed or removed record. */
  get version(): number {
    return this.changeCount;
  }

  /** The number of members that are not dead. */
  get runningCount(): number {
    return this.running;
  }

  get(id: string): MemberEntry | undefined {
    return this.entries.get(id);
  }

  values(): IterableIterator<MemberEntry> {
    return this.entries.values();
  }

  getBucketRecords(bucket: number): MemberRecord[] {
    return [...this.buckets[bucket]!].map((id) => this.entries.get(id)!.record);
  }

  /**
   * Stores a record if it is newer than the known one.
   *
   * @returns the previous record, or undefined if the member was unknown; `not-newer` if the known
   *   record is kept
   */
  merge(record: MemberRecord, now: Milliseconds): MemberRecord | 'not-newer' | undefined {
    const entry = this.entries.get(record.id);
    if (entry !== undefined && !isNewerRecord(record, entry.record)) {
      return 'not-newer';
    }
    const previous = entry?.record;
    this.set(record, entry, now);
    return previous;
  }

  /** The member's record with the given state and version; undefined if the member is unknown. */
  getUpdatedRecord(id: string, version: RecordVersion): MemberRecord | undefined {
    const entry = this.entries.get(id);
    return entry && { ...entry.record, ...version };
  }

  /** Records the configuration generation that a member itself reported. */
  setGeneration(id: string, generation: number): void {
    const entry = this.entries.get(id);
    if (entry !== undefined && entry.generation !== generation) {
      this.entries.set(id, { ...entry, generation });
    }
  }

  remove(id: string): void {
    const entry = this.entries.get(id);
    if (entry !== undefined) {
      this.subtractFromTotals(entry.record);
      this.buckets[getBucketIndex(id)]!.delete(id);
      this.entries.delete(id);
      this.changeCount += 1;
    }
  }

  /**
   * The hashes of all buckets as bytes, including this daemon's own record.
   *
   * @param self - this daemon's own record
   */
  getBucketHashes(self: MemberRecord): Uint8Array {
    const hashes = new Uint32Array(this.hashes);
    const bucket = getBucketIndex(self.id);
    // eslint-disable-next-line no-bitwise
    hashes[bucket] = (hashes[bucket]! ^ getRecordHash(self)) >>> 0;
    return new Uint8Array(hashes.buffer);
  }

  private set(record: MemberRecord, previous: MemberEntry | undefined, now: Milliseconds): void {
    const isSameState =
      previous?.record.state === record.state && previous.record.incarnation === record.incarnation;
    if (previous !== undefined) {
      this.subtractFromTotals(previous.record);
    }
    const stateSince = isSameState ? previous.stateSince : now;
    this.entries.set(record.id, { record, stateSince, generation: previous?.generation ?? 0 });
    this.buckets[getBucketIndex(record.id)]!.add(record.id);
    this.toggleHash(record);
    this.running += isRunning(record.state) ? 1 : 0;
    this.changeCount += 1;
  }

  private subtractFromTotals(record: MemberRecord): void {
    this.toggleHash(record);
    this.running -= isRunning(record.state) ? 1 : 0;
  }

  private toggleHash(record: MemberRecord): void {
    const bucket = getBucketIndex(record.id);
    // eslint-disable-next-line no-bitwise
    this.hashes[bucket] = (this.hashes[bucket]! ^ getRecordHash(record)) >>> 0;
  }
}
