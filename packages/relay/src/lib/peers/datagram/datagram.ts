import { z } from 'zod';
import type { SharedAttempt, SharedNews } from '../../decide/messages.js';
import type { PeerEntry } from '../PeerDirectory.js';

/** One message between two daemons. */
export interface Datagram {
  from: PeerEntry;
  news: SharedNews[];
  /** The revisions of the store's last changes that the sender has heard of, by kind. */
  changes?: Record<string, number>;
}

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
  z
    .tuple([z.string(), z.number(), z.number(), z.array(z.tuple([z.string(), z.number()]))])
    .nullable(),
]);

const newsForm = z.union([
  z.tuple([z.literal('p'), attemptForm]),
  z.tuple([z.literal('a'), z.string()]),
  z.tuple([z.literal('e'), z.string()]),
  z.tuple([z.literal('b'), z.string()]),
  z.tuple([z.literal('l'), z.array(attemptForm)]),
]);

const datagramForm = z.tuple([
  z.string(),
  z.string(),
  z.array(newsForm),
  z.record(z.string(), z.number()).nullable(),
]);

type AttemptForm = z.infer<typeof attemptForm>;
type NewsForm = z.infer<typeof newsForm>;

function encodeAttempt(attempt: SharedAttempt): AttemptForm {
  const { key, replica, missingTokens, memoryTokens, isAnswering, pauseTarget, prompt } = attempt;
  return [
    key,
    replica,
    Math.round(missingTokens),
    Math.round(memoryTokens),
    isAnswering ? 1 : 0,
    pauseTarget ?? null,
    prompt === undefined
      ? null
      : [
          prompt.model,
          prompt.inputTokens,
          prompt.outputTokens,
          prompt.parts.map(({ id, tokens }): [string, number] => [id, tokens]),
        ],
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
    prompt:
      prompt === null
        ? undefined
        : {
            model: prompt[0],
            inputTokens: prompt[1],
            outputTokens: prompt[2],
            parts: prompt[3].map(([id, tokens]) => ({ id, tokens })),
          },
  };
}

function encodeNews(news: SharedNews): NewsForm {
  switch (news.kind) {
    case 'placed':
      return ['p', encodeAttempt(news.attempt)];
    case 'answering':
      return ['a', news.key];
    case 'ended':
      return ['e', news.key];
    case 'broke':
      return ['b', news.replica];
    case 'all':
      return ['l', news.attempts.map(encodeAttempt)];
    default:
      return news satisfies never;
  }
}

function decodeNews(form: NewsForm): SharedNews {
  switch (form[0]) {
    case 'p':
      return { kind: 'placed', attempt: decodeAttempt(form[1]) };
    case 'a':
      return { kind: 'answering', key: form[1] };
    case 'e':
      return { kind: 'ended', key: form[1] };
    case 'b':
      return { kind: 'broke', replica: form[1] };
    case 'l':
      return { kind: 'all', attempts: form[1].map(decodeAttempt) };
    default:
      return form satisfies never;
  }
}

/** Writes a message as one datagram. */
export function encodeDatagram({ from, news, changes }: Datagram): Buffer {
  return Buffer.from(
    JSON.stringify([from.id, from.address, news.map(encodeNews), changes ?? null]),
  );
}

/**
 * Reads a datagram.
 *
 * @throws SyntaxError or ZodError when it is none
 */
export function decodeDatagram(bytes: Buffer): Datagram {
  const [id, address, news, changes] = datagramForm.parse(JSON.parse(bytes.toString('utf8')));
  return { from: { id, address }, news: news.map(decodeNews), changes: changes ?? undefined };
}
