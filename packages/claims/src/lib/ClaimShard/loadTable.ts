import type { StoredObject } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimOptions } from '../ClaimOptions.js';
import type { ClaimEntry, ClaimMutation } from '../messages.js';
import { getSegmentKey, translateTime, parseSegmentKey } from '../ShardHead.js';
import type { UnresolvedEpoch, SegmentReference, ShardHead } from '../ShardHead.js';
import { mergeMutation } from './entries.js';
import { ShardTable } from './ShardTable.js';

/** What a takeover has read of a shard. */
interface ShardSources {
  head: ShardHead | undefined;
  /** Mutations that only the previous witness remembered, in order. */
  mutations: readonly ClaimMutation[];
}

/** The unresolved epochs that a takeover inherits, by the local clock. */
export function getInheritedEpochs(
  head: ShardHead | undefined,
  now: Milliseconds,
): UnresolvedEpoch[] {
  const unresolvedEpochs = head?.doubts ?? [];
  return unresolvedEpochs.map((epoch) => ({
    ...epoch,
    until: translateTime(epoch.until, head!, now),
  }));
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

/** The segments that a head lists, with the versions read. Undefined when one is missing. */
function findSegments(
  shard: number,
  head: ShardHead,
  objects: ReadonlyMap<string, StoredObject>,
  now: Milliseconds,
): SegmentReference[] | undefined {
  const found: SegmentReference[] = [];
  for (const { writer, numbers, lives } of head.segments) {
    for (const [index, number] of numbers.entries()) {
      const object = objects.get(getSegmentKey(shard, { writer, number }));
      if (object === undefined) {
        return undefined;
      }
      found.push({ writer, number, version: object.version, expires: now + lives[index]! });
    }
  }
  return found;
}

/**
 * Marks segments that no head lists for deletion. A write or a deletion whose confirmation was lost
 * leaves them behind.
 */
function dropUnlistedSegments(
  shard: number,
  table: ShardTable,
  listed: ReadonlySet<string>,
  objects: readonly StoredObject[],
): void {
  for (const { key, version } of objects.filter((object) => !listed.has(object.key))) {
    table.addUnlistedSegment({ ...parseSegmentKey(shard, key), version, expires: 0 });
  }
}

/**
 * Builds the table of a shard from its head, its segments and the mutations of the previous
 * witness.
 *
 * @param objects - everything under the shard's segment prefix, read after the head
 * @returns undefined when a segment that the head names is missing
 */
export function loadTable(
  shard: number,
  { head, mutations }: ShardSources,
  objects: readonly StoredObject[],
  options: ClaimOptions,
  now: Milliseconds,
): ShardTable | undefined {
  const table = new ShardTable();
  if (head === undefined) {
    return table;
  }
  const byKey = new Map(objects.map((object) => [object.key, object]));
  const segments = findSegments(shard, head, byKey, now);
  if (segments === undefined) {
    return undefined;
  }
  for (const entry of head.entries) {
    table.put({ ...entry, expires: translateTime(entry.expires, head, now) });
  }
  const listed = new Set<string>();
  for (const segment of segments.sort((left, right) => right.version - left.version)) {
    const key = getSegmentKey(shard, segment);
    listed.add(key);
    table.loadSegment(segment, JSON.parse(byKey.get(key)!.value) as ClaimEntry[]);
  }
  dropUnlistedSegments(shard, table, listed, objects);
  mutations.forEach((mutation) => applyMutation(table, mutation, options, now));
  return table;
}
