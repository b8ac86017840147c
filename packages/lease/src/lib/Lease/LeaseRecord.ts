import * as z from 'zod';
import type { StoredObject } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * The lease object as it lies at the store.
 *
 * @public
 */
export interface LeaseRecord {
  /** The daemon that holds the lease; empty when it was released or not taken yet. */
  holder: string;
  /** Tells two processes of the same daemon id apart. */
  holderIncarnation: string;
  /**
   * The store's version of the write that granted the lease. That write can't know its version
   * yet and says 0: the number is then the object's own version.
   */
  fencingNumber: number;
  /** How long others wait without seeing a renewal. */
  grantedFor: Milliseconds;
  /** Counts the holder's writes, so that it recognises the one whose answer was lost. */
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
 * Reads a lease object.
 *
 * @param object - as the store gave it
 * @returns undefined when the text isn't a lease
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
 * The number under which the holder of a record gives orders. Versions of the store only grow, so
 * a later grant has a higher number, also after the object was deleted, and also across leases
 * when a replica moves from one service to another.
 *
 * @param record - the lease
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
