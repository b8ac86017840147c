import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimEntry } from '../messages.js';
import { EntryState } from '../messages.js';
import type { SegmentReference } from '../ShardHead.js';

/** A scan over all keys costs more than a look-up: do it once in a while. */
const SCAN_INTERVAL = 1000;

interface Row {
  entry: ClaimEntry;
  size: number;
  /** Whether a segment holds it, not the head. */
  isInSegment: boolean;
}

function isRollable(row: Row): boolean {
  return !row.isInSegment && row.entry.state === EntryState.Settled;
}

/** A segment about to be written. */
export interface SegmentPlan {
  names: string[];
  value: string;
  expires: Milliseconds;
}

/**
 * The keys a shard remembers. Entries stand in the head until they are settled and many; then they
 * move into segments, so that a commit does not write the whole retention again.
 */
export class ShardTable {
  private readonly rows = new Map<string, Row>();

  private segments: SegmentReference[] = [];

  private expired: SegmentReference[] = [];

  private nextScan: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Bytes of the entries in the head. */
  private headSize = 0;

  /** Bytes of the settled ones among them. */
  private settledSize = 0;

  get count(): number {
    return this.rows.size;
  }

  get size(): number {
    return this.headSize;
  }

  get rollableSize(): number {
    return this.settledSize;
  }

  get(name: string, now: Milliseconds): ClaimEntry | undefined {
    const entry = this.rows.get(name)?.entry;
    if (entry !== undefined && entry.expires <= now) {
      this.remove(name);
      return undefined;
    }
    return entry;
  }

  put(entry: ClaimEntry): void {
    this.remove(entry.name);
    const size = Buffer.byteLength(JSON.stringify(entry));
    const row = { entry, size, isInSegment: false };
    this.rows.set(entry.name, row);
    this.account(row, 1);
  }

  remove(name: string): void {
    const row = this.rows.get(name);
    if (row !== undefined) {
      this.rows.delete(name);
      this.account(row, -1);
    }
  }

  /** Takes in a segment read from the store; newer ones first, since a name may stand in two. */
  loadSegment(reference: SegmentReference, entries: readonly ClaimEntry[]): void {
    this.segments.unshift(reference);
    for (const entry of entries) {
      const loaded = { ...entry, expires: reference.expires };
      if (!this.rows.has(entry.name)) {
        this.rows.set(entry.name, { entry: loaded, size: 0, isInSegment: true });
      }
    }
  }

  /** Notes a segment found at the store that no head lists, for removal with the next commit. */
  dropSegment(reference: SegmentReference): void {
    this.expired.push(reference);
  }

  /** Forgets what has expired. Segments that expired stay listed until a commit drops them. */
  expire(now: Milliseconds): void {
    if (now < this.nextScan) {
      return;
    }
    this.nextScan = now + SCAN_INTERVAL;
    for (const [name, { entry }] of this.rows) {
      if (entry.expires <= now) {
        this.remove(name);
      }
    }
    const live = this.segments.filter(({ expires }) => expires > now);
    if (live.length < this.segments.length) {
      this.expired.push(...this.segments.filter(({ expires }) => expires <= now));
      this.segments = live;
    }
  }

  getHeadEntries(): ClaimEntry[] {
    const inHead = [...this.rows.values()].filter(({ isInSegment }) => !isInSegment);
    return inHead.map(({ entry }) => entry);
  }

  getSegments(): SegmentReference[] {
    return [...this.segments];
  }

  getExpiredSegments(): SegmentReference[] {
    return [...this.expired];
  }

  forgetExpired(dropped: readonly SegmentReference[]): void {
    this.expired = this.expired.filter((segment) => !dropped.includes(segment));
  }

  /** Picks settled entries for the next segment, oldest first, up to a size. */
  planSegment(limit: number): SegmentPlan | undefined {
    const picked: ClaimEntry[] = [];
    let size = 0;
    for (const row of this.rows.values()) {
      if (isRollable(row) && size + row.size <= limit) {
        picked.push(row.entry);
        size += row.size;
      }
    }
    if (picked.length === 0) {
      return undefined;
    }
    const expires = Math.max(...picked.map((entry) => entry.expires));
    return {
      names: picked.map((entry) => entry.name),
      value: JSON.stringify(picked),
      expires,
    };
  }

  /** The segment is in the store: its entries leave the head. */
  finishSegment(plan: SegmentPlan, reference: SegmentReference): void {
    this.segments.push(reference);
    for (const name of plan.names) {
      const row = this.rows.get(name);
      if (row !== undefined && isRollable(row)) {
        this.account(row, -1);
        row.isInSegment = true;
        // All entries of a segment leave together, so that a reader needs one time for all.
        row.entry.expires = plan.expires;
      }
    }
  }

  private account(row: Row, sign: 1 | -1): void {
    if (!row.isInSegment) {
      this.headSize += sign * row.size;
      this.settledSize += isRollable(row) ? sign * row.size : 0;
    }
  }
}
