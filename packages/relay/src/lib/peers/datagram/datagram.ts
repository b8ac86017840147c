import type { Milliseconds } from '@apricotrill/utils';
import * as z from 'zod';
import { AttemptEnd } from '../../decide/messages.js';
import type { Placement, PlacementQuery, Prompt, SharedAttempt } from '../../decide/messages.js';
import type { PeerUpdate } from '../PeerUpdate.js';
import type { PeerEntry } from '../PeerDirectory.js';

/** One message between two daemons. */
export interface Datagram {
  from: PeerEntry;
  news: PeerUpdate[];
  /** The revisions of the store's last changes that the sender has heard of, by kind. */
  changes?: Record<string, number>;
  /** The sender's clock when it sent this, in Unix milliseconds; absent where it does not say. */
  sentAt?: Milliseconds;
}

/** Model, input tokens, output tokens, parts. */
const promptForm = z.tuple([
  z.string(),
  z.number(),
  z.number(),
  z.array(z.tuple([z.string(), z.number()])),
]);

/**
 * An attempt without the names of its fields, which would be two thirds of the bytes: key, replica,
 * missing tokens, memory tokens, whether it is answering, pause target, prompt. Each goes to every
 * other daemon.
 */
const attemptForm = z.tuple([
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.union([z.literal(0), z.literal(1)]),
  z.number().nullable(),
  promptForm.nullable(),
]);

/** Key, service, rank, latency target, pause target, prompt, availability zone, replicas tried. */
const askForm = z.tuple([
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.number().nullable(),
  promptForm.nullable(),
  z.string(),
  z.array(z.string()),
]);

/** Replica, expected wait, missing tokens, tokens ahead, copy time, and what is copied from where. */
const placementForm = z.tuple([
  z.string(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.tuple([z.string(), z.number()]).nullable(),
]);

/** Fingerprint, remaining time, IDs of crashed replicas. */
const quarantinedForm = z.tuple([z.string(), z.number(), z.array(z.string())]);

/** Replica, requests per second (null if the limit was lifted), age. */
const limitForm = z.tuple([z.string(), z.number().nonnegative().nullable(), z.number()]);

/** Source, window, and counts by workspace. */
const usageForm = z.tuple([
  z.string(),
  z.int().nonnegative(),
  z.array(z.tuple([z.string(), z.int().nonnegative()])),
]);

/** Service, prompt tokens a second, attempts under way. */
const demandForm = z.tuple([z.string(), z.number().nonnegative(), z.int().nonnegative()]);

const newsForm = z.union([
  z.tuple([z.literal('u'), usageForm]),
  z.tuple([z.literal('d'), z.array(demandForm)]),
  z.tuple([z.literal('p'), attemptForm]),
  z.tuple([z.literal('a'), z.string()]),
  z.tuple([z.literal('e'), z.string()]),
  z.tuple([z.literal('e'), z.string(), z.enum(AttemptEnd), z.number()]),
  z.tuple([z.literal('q'), askForm]),
  z.tuple([z.literal('r'), z.string(), placementForm.nullable()]),
  z.tuple([z.literal('b'), z.string()]),
  z.tuple([z.literal('c'), z.string(), z.array(z.string())]),
  z.tuple([z.literal('s'), z.string()]),
  z.tuple([z.literal('x'), z.array(quarantinedForm)]),
  z.tuple([z.literal('m'), z.array(limitForm)]),
  z.tuple([z.literal('l'), z.array(attemptForm)]),
]);

/** Name, address and availability zone of the sender; news; changes; its clock. */
const datagramForm = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  z.array(newsForm),
  z.record(z.string(), z.number()).nullable(),
  z.number().optional(),
]);

type PromptForm = z.infer<typeof promptForm>;
type AttemptForm = z.infer<typeof attemptForm>;
type AskForm = z.infer<typeof askForm>;
type PlacementForm = z.infer<typeof placementForm>;
type NewsForm = z.infer<typeof newsForm>;

function encodePrompt({ model, inputTokens, outputTokens, parts }: Prompt): PromptForm {
  return [
    model,
    inputTokens,
    outputTokens,
    parts.map(({ id, tokens }): [string, number] => [id, tokens]),
  ];
}

function decodePrompt([model, inputTokens, outputTokens, parts]: PromptForm): Prompt {
  return {
    model,
    inputTokens,
    outputTokens,
    parts: parts.map(([id, tokens]) => ({ id, tokens })),
  };
}

function encodeAttempt(attempt: SharedAttempt): AttemptForm {
  const { key, replica, missingTokens, memoryTokens, isAnswering, pauseTarget, prompt } = attempt;
  return [
    key,
    replica,
    Math.round(missingTokens),
    Math.round(memoryTokens),
    isAnswering ? 1 : 0,
    pauseTarget ?? null,
    prompt === undefined ? null : encodePrompt(prompt),
  ];
}

function decodeAttempt([
  key,
  replica,
  missingTokens,
  memoryTokens,
  isAnswering,
  pauseTarget,
  prompt,
]: AttemptForm): SharedAttempt {
  return {
    key,
    replica,
    missingTokens,
    memoryTokens,
    isAnswering: isAnswering === 1,
    pauseTarget: pauseTarget ?? undefined,
    prompt: prompt === null ? undefined : decodePrompt(prompt),
  };
}

function encodeAsk({ key, wish, availabilityZone, tried }: PlacementQuery): AskForm {
  const { service, rank, latencyTarget, pauseTarget, prompt } = wish;
  const promptIn = prompt === undefined ? null : encodePrompt(prompt);
  return [
    key,
    service,
    rank,
    latencyTarget,
    pauseTarget ?? null,
    promptIn,
    availabilityZone,
    tried,
  ];
}

function decodeAsk([
  key,
  service,
  rank,
  latencyTarget,
  pauseTarget,
  prompt,
  availabilityZone,
  tried,
]: AskForm): PlacementQuery {
  const wish = {
    service,
    rank,
    latencyTarget,
    pauseTarget: pauseTarget ?? undefined,
    prompt: prompt === null ? undefined : decodePrompt(prompt),
  };
  return { key, wish, availabilityZone, tried };
}

function encodePlacement(placement: Placement): PlacementForm {
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
]: PlacementForm): Placement {
  const [fetchFrom, fetchTokens] = fetch ?? [];
  return { replica, expected, missingTokens, tokensAhead, copyTime, fetchFrom, fetchTokens };
}

function encodeNews(news: PeerUpdate): NewsForm {
  switch (news.kind) {
    case 'usage': {
      const { source, window, counts } = news.share;
      return ['u', [source, window, counts.map(([name, count]) => [name, count])]];
    }
    case 'demand':
      return [
        'd',
        news.demand.map(({ service, tokensPerSecond, running }) => [
          service,
          Math.round(tokensPerSecond),
          running,
        ]),
      ];
    case 'placed':
      return ['p', encodeAttempt(news.attempt)];
    case 'first-byte-received':
      return ['a', news.key];
    case 'ended':
      return news.result === undefined
        ? ['e', news.key]
        : ['e', news.key, news.result.end, Math.round(news.result.after)];
    case 'ask':
      return ['q', encodeAsk(news.query)];
    case 'reply': {
      const { key, placement } = news.response;
      return ['r', key, placement === undefined ? null : encodePlacement(placement)];
    }
    case 'attempt-broken':
      return ['b', news.replica];
    case 'limits':
      return [
        'm',
        news.limits.map(({ replica, perSecond, age }) => [
          replica,
          perSecond ?? null,
          Math.round(age),
        ]),
      ];
    case 'crashed':
      return ['c', news.replica, news.fingerprints];
    case 'cleared':
      return ['s', news.fingerprint];
    case 'quarantined':
      return [
        'x',
        news.requests.map(({ fingerprint, remaining, replicas }) => [
          fingerprint,
          Math.round(remaining),
          replicas,
        ]),
      ];
    case 'attempt-list':
      return ['l', news.attempts.map(encodeAttempt)];
    default:
      return news satisfies never;
  }
}

function decodeNews(form: NewsForm): PeerUpdate {
  switch (form[0]) {
    case 'u': {
      const [source, window, counts] = form[1];
      return { kind: 'usage', share: { source, window, counts } };
    }
    case 'd':
      return {
        kind: 'demand',
        demand: form[1].map(([service, tokensPerSecond, running]) => ({
          service,
          tokensPerSecond,
          running,
        })),
      };
    case 'p':
      return { kind: 'placed', attempt: decodeAttempt(form[1]) };
    case 'a':
      return { kind: 'first-byte-received', key: form[1] };
    case 'e': {
      const [, key, end, after] = form;
      return end === undefined || after === undefined
        ? { kind: 'ended', key }
        : { kind: 'ended', key, result: { end, after } };
    }
    case 'q':
      return { kind: 'ask', query: decodeAsk(form[1]) };
    case 'r': {
      const [, key, placement] = form;
      return {
        kind: 'reply',
        response: placement === null ? { key } : { key, placement: decodePlacement(placement) },
      };
    }
    case 'b':
      return { kind: 'attempt-broken', replica: form[1] };
    case 'm':
      return {
        kind: 'limits',
        limits: form[1].map(([replica, perSecond, age]) => ({
          replica,
          perSecond: perSecond ?? undefined,
          age,
        })),
      };
    case 'c':
      return { kind: 'crashed', replica: form[1], fingerprints: form[2] };
    case 's':
      return { kind: 'cleared', fingerprint: form[1] };
    case 'x':
      return {
        kind: 'quarantined',
        requests: form[1].map(([fingerprint, remaining, replicas]) => ({
          fingerprint,
          remaining,
          replicas,
        })),
      };
    case 'l':
      return { kind: 'attempt-list', attempts: form[1].map(decodeAttempt) };
    default:
      return form satisfies never;
  }
}

/** Writes a message as one datagram. */
export function encodeDatagram({ from, news, changes, sentAt }: Datagram): Buffer {
  return Buffer.from(
    JSON.stringify([
      from.id,
      from.address,
      from.availabilityZone,
      news.map(encodeNews),
      changes ?? null,
      ...(sentAt === undefined ? [] : [Math.round(sentAt)]),
    ]),
  );
}

/**
 * Reads a datagram.
 *
 * @throws SyntaxError or ZodError when it is none
 */
export function decodeDatagram(bytes: Buffer): Datagram {
  const [id, address, availabilityZone, news, changes, sentAt] = datagramForm.parse(
    JSON.parse(bytes.toString('utf8')),
  );
  const from = { id, address, availabilityZone };
  return { from, news: news.map(decodeNews), changes: changes ?? undefined, sentAt };
}
