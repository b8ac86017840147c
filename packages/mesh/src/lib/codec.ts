import { Encoder } from 'cbor-x';

/** Plain CBOR (RFC 8949) without the record extension, so that each message is self-contained. */
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/**
 * What is sent to a peer: the topic, which selects the handler, the sender's id, and the message.
 *
 * @internal
 */
export interface Envelope {
  topic: string;
  from: string;
  body: unknown;
}

/** Encodes an envelope as an array of three elements, which saves the bytes of field names. */
export function encodeEnvelope({ topic, from, body }: Envelope): Buffer {
  return encoder.encode([topic, from, body]);
}

/**
 * Decodes an envelope.
 *
 * @throws TypeError when the bytes are not an envelope
 */
export function decodeEnvelope(bytes: Buffer): Envelope {
  const decoded: unknown = encoder.decode(bytes);
  if (!Array.isArray(decoded) || decoded.length !== 3) {
    throw new TypeError('not an envelope of topic, sender and body');
  }
  const [topic, from, body]: unknown[] = decoded;
  if (typeof topic !== 'string' || typeof from !== 'string') {
    throw new TypeError('topic and sender of an envelope must be strings');
  }
  return { topic, from, body };
}

/** Encodes a response. */
export function encodeResponse(response: unknown): Buffer {
  return encoder.encode(response);
}

/** Decodes a response. @throws Error when the bytes are not CBOR */
export function decodeResponse(bytes: Buffer): unknown {
  return encoder.decode(bytes);
}
