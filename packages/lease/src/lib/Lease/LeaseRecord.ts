import * as z from 'zod';
import type { StoredObject } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * The lease object in the store.
 *
 * @public
 */
export interface LeaseRecord {
  /** The daemon that holds the lease; empty if the lease was released or not taken yet. */
  holder: string;
  /** Distinguishes processes with the same daemon id. */
  holderIncarnation: string;
  /**
   * The object version of the write that granted the lease. That write cannot know its own version
   * and contains 0, which stands for the version of the object itself.
   */
  fencingNumber: number;
  /** How long other candidates wait without a renewal before they take over. */
  grantedFor: Milliseconds;
  /** Number of the write, by which the holder recognises a write whose response was lost. */
  renewals: number;
}

const recordSchema = z.object({
  holder: z.string(),
  holderIncarnation: z.string(),
  fencingNumber: z.number().int().min(0),
  grantedFor: z.number().min(0),
  renewals: z.number().int().min(0),
});

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Parses a lease object.
 *
 * @param object - the object as read from the store
 * @returns undefined if the object is missing or not a valid lease
 * @example
 * ```ts
 * const record = parseLeaseRecord(await store.get('leases/placement-chat'));
 * ```
 * @public
 */
export function parseLeaseRecord(object: StoredObject | undefined): LeaseRecord | undefined {
  const parsed = recordSchema.safeParse(object && parseJson(object.value));
  return parsed.success ? parsed.data : undefined;
}

/**
 * Returns the fencing number (fencing token) of a lease record. Versions of the store only
 * increase, also when it comes back from an older copy, so a later grant has a higher number. This also holds after the object was deleted, and
 * across leases when a replica moves from one service to another.
 *
 * @param record - the lease record
 * @param version - the version of the object it was read from
 * @example
 * ```ts
 * const number = getGrantedFencingNumber(record, object.version);
 * ```
 * @public
 */
export function getGrantedFencingNumber(record: LeaseRecord, version: number): number {
  return record.fencingNumber === 0 ? version : record.fencingNumber;
}
