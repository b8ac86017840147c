import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimMember } from './claimTypes.js';
import type { ClaimEntry } from './messages.js';
import { SEGMENTS_PREFIX } from './storeKeys.js';

/**
 * A segment: settled entries that no longer change, moved out of the head into an object of their
 * own.
 */
export interface SegmentReference {
  /** The process that wrote the segment. */
  writer: string;
  /** Unique among the segments of this writer. */
  number: number;
  version: number;
  /** When its last entry expires, by the owner's clock. */
  expires: Milliseconds;
}

/**
 * The segments of one writer as listed in the head. One array per field, because the head is
 * written with every commit and may list hundreds of segments: repeated field names would make up
 * most of it.
 */
export interface SegmentList {
  writer: string;
  numbers: number[];
  /** Remaining lifetime of each segment at `writtenAt`, in whole milliseconds. */
  lives: Milliseconds[];
}

/**
 * An epoch that was not sealed at the takeover. Until `until`, it is unknown which claims its owner
 * granted without the store.
 */
export interface UnresolvedEpoch {
  epoch: number;
  owner: ClaimMember;
  witness: ClaimMember;
  /** The store had all mutations up to this one. */
  sequence: number;
  until: Milliseconds;
}

/**
 * The head of a shard: its main object in the store. All times are by the clock of the owner that
 * wrote it. A reader uses only their distance from `writtenAt`, so daemons need no common time.
 */
export interface ShardHead {
  owner: ClaimMember;
  /** An epoch has exactly one owner and one witness, which never change. */
  epoch: number;
  witness?: ClaimMember;
  /** Id of the write, by which its writer recognizes it after a lost confirmation. */
  commit: string;
  sequence: number;
  /** The owner has promised to grant nothing more in this epoch. */
  clean: boolean;
  writtenAt: Milliseconds;
  doubts: UnresolvedEpoch[];
  segments: SegmentList[];
  entries: ClaimEntry[];
}

/** The parts that a head is created from. */
export interface HeadContent {
  commit: string;
  header: Pick<ShardHead, 'epoch' | 'witness' | 'clean'>;
  sequence: number;
  unresolvedEpochs: UnresolvedEpoch[];
  table: { getSegments(): SegmentReference[]; getHeadEntries(): ClaimEntry[] };
}

function listSegments(segments: readonly SegmentReference[], now: Milliseconds): SegmentList[] {
  const lists = new Map<string, SegmentList>();
  for (const { writer, number, expires } of segments) {
    const list = lists.get(writer) ?? { writer, numbers: [], lives: [] };
    list.numbers.push(number);
    list.lives.push(Math.max(0, Math.ceil(expires - now)));
    lists.set(writer, list);
  }
  return [...lists.values()];
}

/** Creates the head that the owner writes at this time. */
export function createHead(owner: ClaimMember, content: HeadContent, now: Milliseconds): ShardHead {
  const { commit, header, sequence, unresolvedEpochs, table } = content;
  const segments = listSegments(table.getSegments(), now);
  const entries = table.getHeadEntries();
  return {
    owner,
    ...header,
    commit,
    sequence,
    writtenAt: now,
    doubts: unresolvedEpochs,
    segments,
    entries,
  };
}

/** The store key of a shard's head. */
export function getHeadKey(shard: number): string {
  return `claims/${shard}`;
}

/** The common prefix of the store keys of a shard's segments. */
export function getSegmentPrefix(shard: number): string {
  return `${SEGMENTS_PREFIX}${shard}/`;
}

/** The store key of a segment. */
export function getSegmentKey(
  shard: number,
  { writer, number }: Pick<SegmentReference, 'writer' | 'number'>,
): string {
  return `${getSegmentPrefix(shard)}${writer}/${number}`;
}

/** Parses a head read from the store. @throws SyntaxError when the object is not valid JSON */
export function parseHead(text: string): ShardHead {
  return JSON.parse(text) as ShardHead;
}

/**
 * Converts a time of the clock that the head was written by to the local clock, as if the head had
 * just been written: the time left then is the time left now.
 */
export function translateTime(
  time: Milliseconds,
  head: ShardHead,
  now: Milliseconds,
): Milliseconds {
  return now + Math.max(0, time - head.writtenAt);
}

/** The writer and number encoded in a segment's store key. */
export function parseSegmentKey(shard: number, key: string): { writer: string; number: number } {
  const path = key.slice(getSegmentPrefix(shard).length);
  const separator = path.lastIndexOf('/');
  return { writer: path.slice(0, separator), number: Number(path.slice(separator + 1)) };
}
