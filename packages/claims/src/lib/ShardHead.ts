import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimMember } from './claimTypes.js';
import type { ClaimEntry } from './messages.js';

/** Settled entries that no longer change, moved out of the head into an object of their own. */
export interface SegmentReference {
  /** The process that wrote it. */
  writer: string;
  /** Unique among the writer's. */
  number: number;
  version: number;
  /** When its youngest entry expires, by the owner's clock. */
  expires: Milliseconds;
}

/**
 * The segments of one writer as the head lists them. The head is written with every commit and may
 * list hundreds: field names would be most of it.
 */
export interface SegmentList {
  writer: string;
  numbers: number[];
  /** How long each has left at `writtenAt`, in whole milliseconds. */
  lives: Milliseconds[];
}

/**
 * An epoch whose witness gave no word at the takeover: what its owner granted without the store is
 * unknown until `until`.
 */
export interface UnresolvedEpoch {
  epoch: number;
  owner: ClaimMember;
  witness: ClaimMember;
  /** Mutations up to this one were in the store. */
  sequence: number;
  until: Milliseconds;
}

/**
 * A shard's object at the store. All times are by the clock of the owner that wrote it; a reader
 * uses only their distance from `writtenAt`, so that daemons need not agree on the time.
 */
export interface ShardHead {
  owner: ClaimMember;
  /** Has exactly one owner and one witness, for good. */
  epoch: number;
  witness?: ClaimMember;
  /** Identity of the write, by which its writer finds it again after a lost confirmation. */
  commit: string;
  sequence: number;
  /** The owner has promised to grant nothing more in this epoch. */
  clean: boolean;
  writtenAt: Milliseconds;
  doubts: UnresolvedEpoch[];
  segments: SegmentList[];
  entries: ClaimEntry[];
}

/** What a head is written from. */
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

/** The head as its owner writes it now. */
export function createHead(owner: ClaimMember, content: HeadContent, now: Milliseconds): ShardHead {
  const { commit, header, sequence, unresolvedEpochs, table } = content;
  const segments = listSegments(table.getSegments(), now);
  const entries = table.getHeadEntries();
  const doubts = unresolvedEpochs;
  return { owner, ...header, commit, sequence, writtenAt: now, doubts, segments, entries };
}

/** The store key of a shard's object. */
export function getHeadKey(shard: number): string {
  return `claims/${shard}`;
}

/** What the store keys of a shard's segments begin with. */
export function getSegmentPrefix(shard: number): string {
  return `claim-segments/${shard}/`;
}

/** The store key of a segment. */
export function getSegmentKey(
  shard: number,
  { writer, number }: Pick<SegmentReference, 'writer' | 'number'>,
): string {
  return `${getSegmentPrefix(shard)}${writer}/${number}`;
}

/** Parses what an owner wrote. @throws SyntaxError when the object is no JSON */
export function parseHead(text: string): ShardHead {
  return JSON.parse(text) as ShardHead;
}

/** A time of another owner's clock, moved to ours: what was left of the span then is left now. */
export function translateTime(
  time: Milliseconds,
  head: ShardHead,
  now: Milliseconds,
): Milliseconds {
  return now + Math.max(0, time - head.writtenAt);
}

/** The writer and number in a segment's store key. */
export function parseSegmentKey(shard: number, key: string): { writer: string; number: number } {
  const path = key.slice(getSegmentPrefix(shard).length);
  const separator = path.lastIndexOf('/');
  return { writer: path.slice(0, separator), number: Number(path.slice(separator + 1)) };
}
