import { Encoder } from 'cbor-x';

/** Plain CBOR (RFC 8949): no record extension, so that each message stands on its own. */
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/**
 * What travels: which handler it is for, who sent it, and the message itself.
 *
 * @internal
 */
export interface Envelope {
  topic: string;
  from: string;
  body: unknown;
}

/** Encodes an envelope as a three-element array: the names of its fields would cost bytes. */
export function encodeEnvelope({ topic, from, body }: Envelope): Buffer {
  return encoder.encode([topic, from, body]);
}

/**
 * Decodes an envelope.
 *
 * @throws TypeError when the bytes are no envelope
 */
export function decodeEnvelope(bytes: Buffer): Envelope {
  const decoded: unknown = encoder.decode(bytes);
  if (!Array.isArray(decoded) || decoded.length !== 3) {
    throw new TypeError('not an envelope of topic, sender and body');
  }
  const [topic, from, body]: unknown[] = decoded;
  if (typeof topic !== 'string' || typeof from !== 'string') {
    throw new TypeError('topic and sender of an envelope are strings');
  }
  return { topic, from, body };
}

/** Encodes an answer. */
export function encodeResponse(answer: unknown): Buffer {
  return encoder.encode(answer);
}

/** Decodes an answer. @throws Error when the bytes are not CBOR */
export function decodeResponse(bytes: Buffer): unknown {
  return encoder.decode(bytes);
}
