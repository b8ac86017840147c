import type { StoredObject } from '@apricotrill/platform';
import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimOptions } from '../ClaimOptions.js';
import type { ClaimEntry, ClaimMutation } from '../messages.js';
import { getSegmentPrefix, moveTime } from '../ShardHead.js';
import type { Doubt, ShardHead } from '../ShardHead.js';
import { mergeMutation } from './entries.js';
import { ShardTable } from './ShardTable.js';

/** What a takeover has read of a shard. */
interface ShardSources {
  head: ShardHead | undefined;
  /** What only the last witness remembered, in order. */
  mutations: readonly ClaimMutation[];
}

/** The doubts a takeover inherits, by its own clock. */
export function getMovedDoubts(head: ShardHead | undefined, now: Milliseconds): Doubt[] {
  const doubts = head?.doubts ?? [];
  return doubts.map((doubt) => ({ ...doubt, until: moveTime(doubt.until, head!, now) }));
}

function applyMutation(
  table: ShardTable,
  mutation: ClaimMutation,
  options: ClaimOptions,
  now: Milliseconds,
): void {
  const known = table.get(mutation.name, now);
  const entry = mergeMutation(known, mutation, options, now);
  if (entry === undefined) {
    table.remove(mutation.name);
  } else if (entry !== known) {
    table.put(entry);
  }
}

/**
 * Builds a shard's table from its head, its segments and the last witness's memory.
 *
 * @returns undefined when a segment that the head names is missing
 */
export function loadTable(
  shard: number,
  { head, mutations }: ShardSources,
  segments: readonly StoredObject[],
  options: ClaimOptions,
  now: Milliseconds,
): ShardTable | undefined {
  const table = new ShardTable();
  const prefix = getSegmentPrefix(shard);
  const texts = new Map(segments.map(({ key, value }) => [key, value]));
  for (const entry of head?.entries ?? []) {
    table.put({ ...entry, expires: moveTime(entry.expires, head!, now) });
  }
  for (const segment of [...(head?.segments ?? [])].reverse()) {
    const text = texts.get(`${prefix}${segment.name}`);
    if (text === undefined) {
      return undefined;
    }
    const expires = moveTime(segment.expires, head!, now);
    table.loadSegment({ ...segment, expires }, JSON.parse(text) as ClaimEntry[]);
  }
  mutations.forEach((mutation) => applyMutation(table, mutation, options, now));
  return table;
}
