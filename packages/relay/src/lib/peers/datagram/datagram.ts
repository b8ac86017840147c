import { parseSocketAddress } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import * as z from 'zod';
import { AttemptEnd } from '../../decide/messages.js';
import type {
  LoadReport,
  Placement,
  PlacementQuery,
  PlacementResponse,
  Prompt,
  SharedAttempt,
} from '../../decide/messages.js';
import type { StorePosition } from '../../follow/StateFollower/ObjectSource.js';
import type { PeerUpdate } from '../PeerUpdate.js';
import type { PeerEntry } from '../PeerDirectory.js';

/** A message from one daemon to another. */
export interface Datagram {
  from: PeerEntry;
  updates: PeerUpdate[];
  /** Store positions of the last changes known to the sender, by kind of object. */
  changes?: Record<string, StorePosition>;
  /** The sender's clock at the time of sending, in Unix milliseconds. */
  sentAt?: Milliseconds;
}

/** Model, input tokens, output tokens, parts. */
const promptSchema = z.tuple([
  z.string(),
  z.number(),
  z.number(),
  z.array(z.tuple([z.string(), z.number()])),
]);

/**
 * An attempt: key, replica, missing tokens, memory tokens, whether it is answering, pause target,
 * prompt. Field names are omitted because they would make up two thirds of the bytes, and attempts
 * are sent to every other daemon.
 */
const attemptSchema = z.tuple([
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.union([z.literal(0), z.literal(1)]),
  z.number().nullable(),
  promptSchema.nullable(),
]);

/** Group, workspace, fingerprint, time waited, time left. */
const claimSchema = z.tuple([z.string(), z.string(), z.string(), z.number(), z.number()]);

/** Running, waiting, slots, slowdown. */
const loadSchema = z.tuple([z.number(), z.number(), z.number(), z.number().positive().nullable()]);

/** Group, expected wait, room. */
const groupLoadSchema = z.tuple([z.string(), z.number().nonnegative(), z.number().nonnegative()]);

/**
 * Key, service, rank, latency target, pause target, prompt, availability zone, tried replicas, and the
 * claim for services under admission control.
 */
const querySchema = z.tuple([
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.number().nullable(),
  promptSchema.nullable(),
  z.string(),
  z.array(z.string()),
  claimSchema.optional(),
]);

/**
 * Replica, expected wait, missing tokens, tokens ahead, copy time, and the source replica and number
 * of copied tokens (null if nothing is copied).
 */
const placementSchema = z.tuple([
  z.string(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.tuple([z.string(), z.number()]).nullable(),
]);

/** Fingerprint, remaining time, IDs of crashed replicas. */
const quarantinedRequestSchema = z.tuple([z.string(), z.number(), z.array(z.string())]);

/** Replica, requests per second (null if the limit was lifted), age. */
const limitSchema = z.tuple([z.string(), z.number().nonnegative().nullable(), z.number()]);

/** Replica, threshold, age. */
const fragilitySchema = z.tuple([z.string(), z.number().nonnegative(), z.number()]);

/** Replica, remaining time. */
const backoffSchema = z.tuple([z.string(), z.number().nonnegative()]);

/** Source, window, counts by workspace. */
const usageSchema = z.tuple([
  z.string(),
  z.int().nonnegative(),
  z.array(z.tuple([z.string(), z.int().nonnegative()])),
]);

/** Service, prompt tokens per second, attempts in flight. */
const demandSchema = z.tuple([z.string(), z.number().nonnegative(), z.int().nonnegative()]);

const updateSchema = z.union([
  z.tuple([z.literal('u'), usageSchema]),
  z.tuple([z.literal('d'), z.array(demandSchema)]),
  z.tuple([z.literal('p'), attemptSchema]),
  z.tuple([z.literal('a'), z.string(), loadSchema.optional()]),
  z.tuple([z.literal('e'), z.string()]),
  z.tuple([z.literal('e'), z.string(), z.enum(AttemptEnd), z.number()]),
  z.tuple([z.literal('q'), querySchema]),
  z.tuple([z.literal('r'), z.string(), placementSchema.nullable()]),
  z.tuple([z.literal('y'), z.string(), z.number().nonnegative()]),
  z.tuple([z.literal('n'), z.string(), z.number().nonnegative()]),
  z.tuple([z.literal('g'), z.string(), z.array(groupLoadSchema)]),
  z.tuple([z.literal('b'), z.string()]),
  z.tuple([z.literal('c'), z.string(), z.array(z.string())]),
  z.tuple([z.literal('s'), z.string()]),
  z.tuple([z.literal('x'), z.array(quarantinedRequestSchema)]),
  z.tuple([z.literal('m'), z.array(limitSchema)]),
  z.tuple([z.literal('v'), z.array(z.string())]),
  z.tuple([z.literal('t'), z.array(backoffSchema)]),
  z.tuple([z.literal('f'), z.array(fragilitySchema)]),
  z.tuple([z.literal('w'), z.string()]),
  z.tuple([z.literal('i'), z.union([z.literal(0), z.literal(1)])]),
  z.tuple([z.literal('o'), z.union([z.literal(0), z.literal(1)])]),
  z.tuple([z.literal('l'), z.array(attemptSchema)]),
]);

/** Revision, or era and revision. */
const positionSchema = z.union([z.number(), z.tuple([z.number(), z.number()])]);

/**
 * ID, address and availability zone of the sender; updates; store positions; time of sending; capacity of
 * the sender.
 */
const datagramSchema = z.tuple([
  z.string(),
  z.string().refine((text) => parseSocketAddress(text) !== undefined),
  z.string(),
  z.array(updateSchema),
  z.record(z.string(), positionSchema).nullable(),
  z.number().optional(),
  z.number().positive().optional(),
]);

type EncodedPrompt = z.infer<typeof promptSchema>;
type EncodedAttempt = z.infer<typeof attemptSchema>;
type EncodedQuery = z.infer<typeof querySchema>;
type EncodedLoad = z.infer<typeof loadSchema>;
type EncodedPlacement = z.infer<typeof placementSchema>;
type EncodedUpdate = z.infer<typeof updateSchema>;

function encodePrompt({ model, inputTokens, outputTokens, parts }: Prompt): EncodedPrompt {
  return [
    model,
    inputTokens,
    outputTokens,
    parts.map(({ id, tokens }): [string, number] => [id, tokens]),
  ];
}

function decodePrompt([model, inputTokens, outputTokens, parts]: EncodedPrompt): Prompt {
  return {
    model,
    inputTokens,
    outputTokens,
    parts: parts.map(([id, tokens]) => ({ id, tokens })),
  };
}

function encodeAttempt(attempt: SharedAttempt): EncodedAttempt {
  const { key, replica, missingTokens, memoryTokens, isResponding, pauseTarget, prompt } = attempt;
  return [
    key,
    replica,
    Math.round(missingTokens),
    Math.round(memoryTokens),
    isResponding ? 1 : 0,
    pauseTarget ?? null,
    prompt === undefined ? null : encodePrompt(prompt),
  ];
}

function decodeAttempt([
  key,
  replica,
  missingTokens,
  memoryTokens,
  isResponding,
  pauseTarget,
  prompt,
]: EncodedAttempt): SharedAttempt {
  return {
    key,
    replica,
    missingTokens,
    memoryTokens,
    isResponding: isResponding === 1,
    pauseTarget: pauseTarget ?? undefined,
    prompt: prompt === null ? undefined : decodePrompt(prompt),
  };
}

function encodeLoad({ running, waiting, slots, slowdown }: LoadReport): EncodedLoad {
  return [running, waiting, slots, slowdown ?? null];
}

function decodeLoad([running, waiting, slots, slowdown]: EncodedLoad): LoadReport {
  const report = { running, waiting, slots };
  return slowdown === null ? report : { ...report, slowdown };
}

function encodeQuery({
  key,
  criteria,
  availabilityZone,
  excludedReplicas,
  claim,
}: PlacementQuery): EncodedQuery {
  const { service, rank, latencyTarget, pauseTarget, prompt } = criteria;
  const encodedPrompt = prompt === undefined ? null : encodePrompt(prompt);
  const query: EncodedQuery = [
    key,
    service,
    rank,
    latencyTarget,
    pauseTarget ?? null,
    encodedPrompt,
    availabilityZone,
    excludedReplicas,
  ];
  if (claim !== undefined) {
    const { group, workspace, fingerprint, waited, timeLeft } = claim;
    query[8] = [group, workspace, fingerprint, Math.round(waited), Math.round(timeLeft)];
  }
  return query;
}

function decodeQuery([
  key,
  service,
  rank,
  latencyTarget,
  pauseTarget,
  prompt,
  availabilityZone,
  excludedReplicas,
  encodedClaim,
]: EncodedQuery): PlacementQuery {
  const criteria = {
    service,
    rank,
    latencyTarget,
    pauseTarget: pauseTarget ?? undefined,
    prompt: prompt === null ? undefined : decodePrompt(prompt),
  };
  const query = { key, criteria, availabilityZone, excludedReplicas };
  if (encodedClaim === undefined) {
    return query;
  }
  const [group, workspace, fingerprint, waited, timeLeft] = encodedClaim;
  return { ...query, claim: { group, workspace, fingerprint, waited, timeLeft } };
}

function encodePlacement(placement: Placement): EncodedPlacement {
  const { replica, expected, missingTokens, tokensAhead, copyTime } = placement;
  const { fetchFrom, fetchTokens } = placement;
  return [
    replica,
    Math.round(expected),
    Math.round(missingTokens),
    Math.round(tokensAhead),
    Math.round(copyTime),
    fetchFrom === undefined ? null : [fetchFrom, Math.round(fetchTokens ?? 0)],
  ];
}

function decodePlacement([
  replica,
  expected,
  missingTokens,
  tokensAhead,
  copyTime,
  fetch,
]: EncodedPlacement): Placement {
  const [fetchFrom, fetchTokens] = fetch ?? [];
  return { replica, expected, missingTokens, tokensAhead, copyTime, fetchFrom, fetchTokens };
}

function encodeResponse({ key, placement, queued, refused }: PlacementResponse): EncodedUpdate {
  if (queued !== undefined) {
    return ['y', key, Math.round(queued.expectedWait)];
  }
  if (refused !== undefined) {
    return ['n', key, Math.round(refused.retryAfter)];
  }
  return ['r', key, placement === undefined ? null : encodePlacement(placement)];
}

/** A daemon of the release before knows no unread responses, and nothing follows from either end. */
function encodeEnd(end: AttemptEnd): AttemptEnd {
  return end === AttemptEnd.Unread ? AttemptEnd.Cancelled : end;
}

function encodeUpdate(update: PeerUpdate): EncodedUpdate {
  switch (update.kind) {
    case 'usage': {
      const { source, window, counts } = update.usage;
      return ['u', [source, window, counts.map(([name, count]) => [name, count])]];
    }
    case 'demand':
      return [
        'd',
        update.demand.map(({ service, tokensPerSecond, running }) => [
          service,
          Math.round(tokensPerSecond),
          running,
        ]),
      ];
    case 'placed':
      return ['p', encodeAttempt(update.attempt)];
    case 'first-byte-received':
      return update.load === undefined
        ? ['a', update.key]
        : ['a', update.key, encodeLoad(update.load)];
    case 'ended':
      return update.result === undefined
        ? ['e', update.key]
        : ['e', update.key, encodeEnd(update.result.end), Math.round(update.result.duration)];
    case 'ask':
      return ['q', encodeQuery(update.query)];
    case 'reply':
      return encodeResponse(update.response);
    case 'group-loads':
      return [
        'g',
        update.service,
        update.loads.map(({ group, expectedWait, room }) => [
          group,
          Math.round(expectedWait),
          Math.round(room),
        ]),
      ];
    case 'attempt-broken':
      return ['b', update.replica];
    case 'limits':
      return [
        'm',
        update.limits.map(({ replica, perSecond, age }) => [
          replica,
          perSecond ?? null,
          Math.round(age),
        ]),
      ];
    case 'crashed':
      return ['c', update.replica, update.fingerprints];
    case 'cleared':
      return ['s', update.fingerprint];
    case 'quarantined':
      return [
        'x',
        update.contents.map(({ fingerprint, remaining, replicas }) => [
          fingerprint,
          Math.round(remaining),
          replicas,
        ]),
      ];
    case 'leaving':
      return ['v', update.replicas];
    case 'backoffs':
      return [
        't',
        update.backoffs.map(({ replica, remaining }) => [replica, Math.round(remaining)]),
      ];
    case 'fragile':
      return [
        'f',
        update.replicas.map(({ replica, threshold, age }) => [replica, threshold, Math.round(age)]),
      ];
    case 'turned-away':
      return ['w', update.replica];
    case 'overload':
      return ['o', update.isOverloaded ? 1 : 0];
    case 'isolation':
      return ['i', update.isIsolated ? 1 : 0];
    case 'attempt-list':
      return ['l', update.attempts.map(encodeAttempt)];
    default:
      return update satisfies never;
  }
}

function decodeUpdate(encoded: EncodedUpdate): PeerUpdate {
  switch (encoded[0]) {
    case 'u': {
      const [source, window, counts] = encoded[1];
      return { kind: 'usage', usage: { source, window, counts } };
    }
    case 'd':
      return {
        kind: 'demand',
        demand: encoded[1].map(([service, tokensPerSecond, running]) => ({
          service,
          tokensPerSecond,
          running,
        })),
      };
    case 'p':
      return { kind: 'placed', attempt: decodeAttempt(encoded[1]) };
    case 'a':
      return encoded[2] === undefined
        ? { kind: 'first-byte-received', key: encoded[1] }
        : { kind: 'first-byte-received', key: encoded[1], load: decodeLoad(encoded[2]) };
    case 'e': {
      const [, key, end, after] = encoded;
      return end === undefined || after === undefined
        ? { kind: 'ended', key }
        : { kind: 'ended', key, result: { end, duration: after } };
    }
    case 'q':
      return { kind: 'ask', query: decodeQuery(encoded[1]) };
    case 'r': {
      const [, key, placement] = encoded;
      return {
        kind: 'reply',
        response: placement === null ? { key } : { key, placement: decodePlacement(placement) },
      };
    }
    case 'y':
      return { kind: 'reply', response: { key: encoded[1], queued: { expectedWait: encoded[2] } } };
    case 'n':
      return { kind: 'reply', response: { key: encoded[1], refused: { retryAfter: encoded[2] } } };
    case 'g':
      return {
        kind: 'group-loads',
        service: encoded[1],
        loads: encoded[2].map(([group, expectedWait, room]) => ({ group, expectedWait, room })),
      };
    case 'b':
      return { kind: 'attempt-broken', replica: encoded[1] };
    case 'm':
      return {
        kind: 'limits',
        limits: encoded[1].map(([replica, perSecond, age]) => ({
          replica,
          perSecond: perSecond ?? undefined,
          age,
        })),
      };
    case 'c':
      return { kind: 'crashed', replica: encoded[1], fingerprints: encoded[2] };
    case 's':
      return { kind: 'cleared', fingerprint: encoded[1] };
    case 'x':
      return {
        kind: 'quarantined',
        contents: encoded[1].map(([fingerprint, remaining, replicas]) => ({
          fingerprint,
          remaining,
          replicas,
        })),
      };
    case 'v':
      return { kind: 'leaving', replicas: encoded[1] };
    case 't':
      return {
        kind: 'backoffs',
        backoffs: encoded[1].map(([replica, remaining]) => ({ replica, remaining })),
      };
    case 'f':
      return {
        kind: 'fragile',
        replicas: encoded[1].map(([replica, threshold, age]) => ({ replica, threshold, age })),
      };
    case 'w':
      return { kind: 'turned-away', replica: encoded[1] };
    case 'i':
      return { kind: 'isolation', isIsolated: encoded[1] === 1 };
    case 'o':
      return { kind: 'overload', isOverloaded: encoded[1] === 1 };
    case 'l':
      return { kind: 'attempt-list', attempts: encoded[1].map(decodeAttempt) };
    default:
      return encoded satisfies never;
  }
}

type EncodedPosition = z.infer<typeof positionSchema>;

function encodePosition({ era, revision }: StorePosition): EncodedPosition {
  return era === undefined ? revision : [era, revision];
}

function decodePosition(encoded: EncodedPosition): StorePosition {
  if (typeof encoded === 'number') {
    return { revision: encoded };
  }
  const [era, revision] = encoded;
  return { era, revision };
}

function mapValues<From, To>(
  record: Readonly<Record<string, From>>,
  map: (value: From) => To,
): Record<string, To> {
  return Object.fromEntries(Object.entries(record).map(([key, value]) => [key, map(value)]));
}

/** Encodes a message as one datagram. Only those with a time of sending state the sender's capacity. */
export function encodeDatagram({
  from,
  updates,
  changes: storePositions,
  sentAt,
}: Datagram): Buffer {
  return Buffer.from(
    JSON.stringify([
      from.id,
      from.address,
      from.availabilityZone,
      updates.map(encodeUpdate),
      storePositions === undefined ? null : mapValues(storePositions, encodePosition),
      ...(sentAt === undefined ? [] : [Math.round(sentAt)]),
      ...(sentAt === undefined || from.capacity === undefined ? [] : [from.capacity]),
    ]),
  );
}

/**
 * Decodes a datagram.
 *
 * @throws SyntaxError or ZodError if the bytes are not a valid datagram
 */
export function decodeDatagram(bytes: Buffer): Datagram {
  const [id, address, availabilityZone, updates, storePositions, sentAt, capacity] =
    datagramSchema.parse(JSON.parse(bytes.toString('utf8')));
  const from = { id, address, availabilityZone, ...(capacity === undefined ? {} : { capacity }) };
  return {
    from,
    updates: updates.map(decodeUpdate),
    changes: storePositions === null ? undefined : mapValues(storePositions, decodePosition),
    sentAt,
  };
}
