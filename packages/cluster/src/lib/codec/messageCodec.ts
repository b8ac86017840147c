import { exhaustiveSwitchError, StepError } from '@apricotrill/utils';
import { z } from 'zod';
import { BUCKETS } from '../MemberTable/MemberTable.js';
import type { PeerAnswer, PeerRequest } from '../messages.js';
import {
  count,
  encodeNotice,
  encodeRecord,
  encodeRumour,
  encodeServices,
  noticeSchema,
  recordSchema,
  rumoursSchema,
  servicesSchema,
} from './rumourCodec.js';
import { encodeParts, partsSchema } from './textCodec.js';
import { encodeTransfer, transferSchema } from './transferCodec.js';

/**
 * Requests and answers as arrays: a tag, the sender's generation, the rest. What comes from another
 * process is checked here, whole, before anything acts on it. The tags are part of the protocol.
 */

enum RequestTag {
  Ping = 0,
  PingThrough = 1,
  Gossip = 2,
  Sync = 3,
  FetchManifest = 4,
  FetchParts = 5,
  Load = 6,
}

enum AnswerTag {
  Ack = 0,
  Nothing = 1,
  SyncPage = 2,
  Manifest = 3,
  Parts = 4,
}

const HASH_BYTES = 4;

const hashes = z.instanceof(Uint8Array).refine(({ length }) => length === BUCKETS * HASH_BYTES);
const bucket = count.max(BUCKETS - 1);

const requestSchemas: Record<RequestTag, z.ZodType<PeerRequest>> = {
  [RequestTag.Ping]: z
    .tuple([z.number(), count, rumoursSchema, z.string()])
    .transform(([, generation, rumours, member]) => ({
      kind: 'ping',
      generation,
      rumours,
      member,
    })),
  [RequestTag.PingThrough]: z
    .tuple([z.number(), count, rumoursSchema, z.string(), z.string()])
    .transform(([, generation, rumours, member, address]) => ({
      kind: 'ping-through',
      generation,
      rumours,
      member,
      address,
    })),
  [RequestTag.Gossip]: z
    .tuple([z.number(), count, rumoursSchema])
    .transform(([, generation, rumours]) => ({ kind: 'gossip', generation, rumours })),
  [RequestTag.Sync]: z
    .tuple([z.number(), count, recordSchema, bucket, hashes])
    .transform(([, generation, self, start, buckets]) => ({
      kind: 'sync',
      generation,
      self,
      start,
      buckets,
    })),
  [RequestTag.FetchManifest]: z
    .tuple([z.number(), count])
    .transform(([, generation]) => ({ kind: 'fetch-manifest', generation })),
  [RequestTag.FetchParts]: z
    .tuple([z.number(), count, z.array(z.string())])
    .transform(([, generation, names]) => ({ kind: 'fetch-parts', generation, hashes: names })),
  [RequestTag.Load]: z
    .tuple([z.number(), count, servicesSchema])
    .transform(([, generation, services]) => ({ kind: 'load', generation, services })),
};

const answerSchemas: Record<AnswerTag, z.ZodType<PeerAnswer>> = {
  [AnswerTag.Ack]: z
    .tuple([z.number(), count, rumoursSchema])
    .transform(([, generation, rumours]) => ({ kind: 'ack', generation, rumours })),
  [AnswerTag.Nothing]: z
    .tuple([z.number(), count])
    .transform(([, generation]) => ({ kind: 'nothing', generation })),
  [AnswerTag.SyncPage]: z
    .tuple([z.number(), count, z.array(recordSchema), z.array(noticeSchema), z.int().min(-1)])
    .transform(([, generation, records, notices, next]) => ({
      kind: 'sync-page',
      generation,
      records,
      notices,
      next,
    })),
  [AnswerTag.Manifest]: z
    .tuple([z.number(), count, transferSchema, partsSchema])
    .transform(([, generation, transfer, parts]) => ({
      kind: 'manifest',
      generation,
      transfer,
      parts,
    })),
  [AnswerTag.Parts]: z
    .tuple([z.number(), count, partsSchema])
    .transform(([, generation, parts]) => ({ kind: 'parts', generation, parts })),
};

export function encodeRequest(request: PeerRequest): unknown[] {
  const { generation } = request;
  switch (request.kind) {
    case 'ping':
      return [RequestTag.Ping, generation, request.rumours.map(encodeRumour), request.member];
    case 'ping-through': {
      const rumours = request.rumours.map(encodeRumour);
      return [RequestTag.PingThrough, generation, rumours, request.member, request.address];
    }
    case 'gossip':
      return [RequestTag.Gossip, generation, request.rumours.map(encodeRumour)];
    case 'sync': {
      const self = encodeRecord(request.self);
      return [RequestTag.Sync, generation, self, request.start, request.buckets];
    }
    case 'fetch-manifest':
      return [RequestTag.FetchManifest, generation];
    case 'fetch-parts':
      return [RequestTag.FetchParts, generation, request.hashes];
    case 'load':
      return [RequestTag.Load, generation, encodeServices(request.services)];
    default:
      throw exhaustiveSwitchError(request);
  }
}

export function encodeAnswer(answer: PeerAnswer): unknown[] {
  const { generation } = answer;
  switch (answer.kind) {
    case 'ack':
      return [AnswerTag.Ack, generation, answer.rumours.map(encodeRumour)];
    case 'nothing':
      return [AnswerTag.Nothing, generation];
    case 'sync-page': {
      const records = answer.records.map(encodeRecord);
      const notices = answer.notices.map(encodeNotice);
      return [AnswerTag.SyncPage, generation, records, notices, answer.next];
    }
    case 'manifest': {
      const transfer = encodeTransfer(answer.transfer);
      return [AnswerTag.Manifest, generation, transfer, encodeParts(answer.parts)];
    }
    case 'parts':
      return [AnswerTag.Parts, generation, encodeParts(answer.parts)];
    default:
      throw exhaustiveSwitchError(answer);
  }
}

function decode<Tag extends number, Message>(
  tags: z.ZodType<Tag>,
  schemas: Record<Tag, z.ZodType<Message>>,
  message: unknown,
  context: { step: string; peer: string },
): Message {
  const tag = tags.safeParse(Array.isArray(message) ? message[0] : undefined);
  const parsed = tag.success ? schemas[tag.data].safeParse(message) : tag;
  if (!parsed.success) {
    throw new StepError(z.prettifyError(parsed.error), context);
  }
  return parsed.data;
}

const requestTags = z.enum(RequestTag);
const answerTags = z.enum(AnswerTag);

/** @throws StepError when it is no request */
export function decodeRequest(message: unknown, peer: string): PeerRequest {
  return decode(requestTags, requestSchemas, message, { step: 'cluster-request', peer });
}

/** @throws StepError when it is no answer */
export function decodeAnswer(message: unknown, peer: string): PeerAnswer {
  return decode(answerTags, answerSchemas, message, { step: 'cluster-answer', peer });
}
