import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimEntry } from '../messages.js';
import { EntryState } from '../messages.js';
import type { SegmentReference } from '../ShardHead.js';

/**
 * Milliseconds between scans for expired keys, since a scan of all keys costs more than a lookup.
 */
const EXPIRY_SCAN_INTERVAL = 1000;

interface Row {
  entry: ClaimEntry;
  size: number;
  /** Whether the entry is stored in a segment and not in the head. */
  isInSegment: boolean;
}

function isMovable(row: Row): boolean {
  return !row.isInSegment && row.entry.state === EntryState.Settled;
}

/** A segment about to be written. */
export interface SegmentPlan {
  names: string[];
  value: string;
  expires: Milliseconds;
}

/**
 * The keys that a shard remembers. Settled entries stay in the head until they exceed a size, and
 * are then moved into segments, so that a commit does not rewrite all keys of the retention period.
 */
export class ShardTable {
  private readonly rows = new Map<string, Row>();

  private segments: SegmentReference[] = [];

  private expiredSegments: SegmentReference[] = [];

  private nextScanAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Bytes of the entries in the head. */
  private headSize = 0;

  /** Bytes of the settled entries in the head. */
  private settledHeadSize = 0;

  get count(): number {
    return this.rows.size;
  }

  get size(): number {
    return this.headSize;
  }

  get movableSize(): number {
    return this.settledHeadSize;
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
    this.adjustSizes(row, 1);
  }

  remove(name: string): void {
    const row = this.rows.get(name);
    if (row !== undefined) {
      this.rows.delete(name);
      this.adjustSizes(row, -1);
    }
  }

  /**
   * Adds the entries of a segment read from the store. The newest segments must be loaded first,
   * because a name may be in two of them.
   */
  loadSegment(reference: SegmentReference, entries: readonly ClaimEntry[]): void {
    this.segments.unshift(reference);
    for (const entry of entries) {
      const loaded = { ...entry, expires: reference.expires };
      if (!this.rows.has(entry.name)) {
        this.rows.set(entry.name, { entry: loaded, size: 0, isInSegment: true });
      }
    }
  }

  /** Records a segment in the store that no head lists, to be deleted after the next commit. */
  addUnlistedSegment(reference: SegmentReference): void {
    this.expiredSegments.push(reference);
  }

  /**
   * Removes expired entries. Expired segments are kept in a list until a commit that no longer
   * lists them.
   */
  expire(now: Milliseconds): void {
    if (now < this.nextScanAt) {
      return;
    }
    this.nextScanAt = now + EXPIRY_SCAN_INTERVAL;
    for (const [name, { entry }] of this.rows) {
      if (entry.expires <= now) {
        this.remove(name);
      }
    }
    const unexpired = this.segments.filter(({ expires }) => expires > now);
    if (unexpired.length < this.segments.length) {
      this.expiredSegments.push(...this.segments.filter(({ expires }) => expires <= now));
      this.segments = unexpired;
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
    return [...this.expiredSegments];
  }

  clearExpiredSegments(dropped: readonly SegmentReference[]): void {
    this.expiredSegments = this.expiredSegments.filter((segment) => !dropped.includes(segment));
  }

  /** Selects settled entries for the next segment, oldest first, up to a total size. */
  planSegment(maxSize: number): SegmentPlan | undefined {
    const selected: ClaimEntry[] = [];
    let size = 0;
    for (const row of this.rows.values()) {
      if (isMovable(row) && size + row.size <= maxSize) {
        selected.push(row.entry);
        size += row.size;
      }
    }
    if (selected.length === 0) {
      return undefined;
    }
    const expires = Math.max(...selected.map((entry) => entry.expires));
    return {
      names: selected.map((entry) => entry.name),
      value: JSON.stringify(selected),
      expires,
    };
  }

  /** Called when the segment is in the store: its entries are no longer part of the head. */
  finishSegment(plan: SegmentPlan, reference: SegmentReference): void {
    this.segments.push(reference);
    for (const name of plan.names) {
      const row = this.rows.get(name);
      if (row !== undefined && isMovable(row)) {
        this.adjustSizes(row, -1);
        row.isInSegment = true;
        // All entries of a segment expire together, so that a reader needs only one time for them.
        row.entry.expires = plan.expires;
      }
    }
  }

  private adjustSizes(row: Row, sign: 1 | -1): void {
    if (!row.isInSegment) {
      this.headSize += sign * row.size;
      this.settledHeadSize += isMovable(row) ? sign * row.size : 0;
    }
  }
}
