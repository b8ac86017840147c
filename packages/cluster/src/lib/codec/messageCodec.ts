import { exhaustiveSwitchError, StepError } from '@apricotrill/utils';
import { z } from 'zod';
import { BUCKET_COUNT } from '../MemberTable/MemberTable.js';
import type { PeerResponse, PeerRequest } from '../messages.js';
import {
  countSchema,
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
 * Encodes requests and responses as arrays: a tag, the sender's active generation, and the other
 * fields. Messages of other processes are validated completely when they are decoded. The tags are
 * part of the protocol.
 */

enum RequestTag {
  Ping = 0,
  IndirectPing = 1,
  Gossip = 2,
  Sync = 3,
  FetchManifest = 4,
  FetchParts = 5,
  Load = 6,
}

enum ResponseTag {
  Ack = 0,
  Nack = 1,
  SyncPage = 2,
  Manifest = 3,
  Parts = 4,
}

const HASH_BYTES = 4;

const bucketHashesSchema = z
  .instanceof(Uint8Array)
  .refine(({ length }) => length === BUCKET_COUNT * HASH_BYTES);
const bucketSchema = countSchema.max(BUCKET_COUNT - 1);

const requestSchemas: Record<RequestTag, z.ZodType<PeerRequest>> = {
  [RequestTag.Ping]: z
    .tuple([z.number(), countSchema, rumoursSchema, z.string()])
    .transform(([, generation, rumours, member]) => ({
      kind: 'ping',
      generation,
      rumours,
      member,
    })),
  [RequestTag.IndirectPing]: z
    .tuple([z.number(), countSchema, rumoursSchema, z.string(), z.string()])
    .transform(([, generation, rumours, member, address]) => ({
      kind: 'indirect-ping',
      generation,
      rumours,
      member,
      address,
    })),
  [RequestTag.Gossip]: z
    .tuple([z.number(), countSchema, rumoursSchema])
    .transform(([, generation, rumours]) => ({ kind: 'gossip', generation, rumours })),
  [RequestTag.Sync]: z
    .tuple([z.number(), countSchema, recordSchema, bucketSchema, bucketHashesSchema])
    .transform(([, generation, sender, startBucket, bucketHashes]) => ({
      kind: 'sync',
      generation,
      sender,
      startBucket,
      bucketHashes,
    })),
  [RequestTag.FetchManifest]: z
    .tuple([z.number(), countSchema])
    .transform(([, generation]) => ({ kind: 'fetch-manifest', generation })),
  [RequestTag.FetchParts]: z
    .tuple([z.number(), countSchema, z.array(z.string())])
    .transform(([, generation, hashes]) => ({ kind: 'fetch-parts', generation, hashes })),
  [RequestTag.Load]: z
    .tuple([z.number(), countSchema, servicesSchema])
    .transform(([, generation, services]) => ({ kind: 'load', generation, services })),
};

const responseSchemas: Record<ResponseTag, z.ZodType<PeerResponse>> = {
  [ResponseTag.Ack]: z
    .tuple([z.number(), countSchema, rumoursSchema])
    .transform(([, generation, rumours]) => ({ kind: 'ack', generation, rumours })),
  [ResponseTag.Nack]: z
    .tuple([z.number(), countSchema])
    .transform(([, generation]) => ({ kind: 'nack', generation })),
  [ResponseTag.SyncPage]: z
    .tuple([z.number(), countSchema, z.array(recordSchema), z.array(noticeSchema), z.int().min(-1)])
    .transform(([, generation, records, notices, nextBucket]) => ({
      kind: 'sync-page',
      generation,
      records,
      notices,
      nextBucket,
    })),
  [ResponseTag.Manifest]: z
    .tuple([z.number(), countSchema, transferSchema, partsSchema])
    .transform(([, generation, transfer, parts]) => ({
      kind: 'manifest',
      generation,
      transfer,
      parts,
    })),
  [ResponseTag.Parts]: z
    .tuple([z.number(), countSchema, partsSchema])
    .transform(([, generation, parts]) => ({ kind: 'parts', generation, parts })),
};

export function encodeRequest(request: PeerRequest): unknown[] {
  const { generation } = request;
  switch (request.kind) {
    case 'ping':
      return [RequestTag.Ping, generation, request.rumours.map(encodeRumour), request.member];
    case 'indirect-ping': {
      const rumours = request.rumours.map(encodeRumour);
      return [RequestTag.IndirectPing, generation, rumours, request.member, request.address];
    }
    case 'gossip':
      return [RequestTag.Gossip, generation, request.rumours.map(encodeRumour)];
    case 'sync': {
      const sender = encodeRecord(request.sender);
      return [RequestTag.Sync, generation, sender, request.startBucket, request.bucketHashes];
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

export function encodeResponse(response: PeerResponse): unknown[] {
  const { generation } = response;
  switch (response.kind) {
    case 'ack':
      return [ResponseTag.Ack, generation, response.rumours.map(encodeRumour)];
    case 'nack':
      return [ResponseTag.Nack, generation];
    case 'sync-page': {
      const records = response.records.map(encodeRecord);
      const notices = response.notices.map(encodeNotice);
      return [ResponseTag.SyncPage, generation, records, notices, response.nextBucket];
    }
    case 'manifest': {
      const transfer = encodeTransfer(response.transfer);
      return [ResponseTag.Manifest, generation, transfer, encodeParts(response.parts)];
    }
    case 'parts':
      return [ResponseTag.Parts, generation, encodeParts(response.parts)];
    default:
      throw exhaustiveSwitchError(response);
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

const requestTagSchema = z.enum(RequestTag);
const responseTagSchema = z.enum(ResponseTag);

/** @throws StepError if the message is not a valid request */
export function decodeRequest(message: unknown, peer: string): PeerRequest {
  return decode(requestTagSchema, requestSchemas, message, { step: 'cluster-request', peer });
}

/** @throws StepError if the message is not a valid response */
export function decodeResponse(message: unknown, peer: string): PeerResponse {
  return decode(responseTagSchema, responseSchemas, message, { step: 'cluster-answer', peer });
}
