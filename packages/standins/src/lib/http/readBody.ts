import type { IncomingMessage } from 'node:http';
import { BadRequestError, PayloadTooLargeError } from './requestErrors.js';

const DEFAULT_LIMIT_BYTES = 16 * 1_048_576;

/** Reads a whole body as text. @throws PayloadTooLargeError beyond `limit` bytes */
export async function readBody(
  request: IncomingMessage,
  limit = DEFAULT_LIMIT_BYTES,
): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;

  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size <= limit) {
      chunks.push(chunk);
    }
  }
  if (size > limit) {
    throw new PayloadTooLargeError(`the body has ${size} bytes, at most ${limit} are taken`);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Reads a body as a JSON object. @throws BadRequestError when it is none */
export async function readJson<Body extends object>(request: IncomingMessage): Promise<Body> {
  const text = await readBody(request);
  try {
    const body: unknown = JSON.parse(text);
    if (typeof body === 'object' && body !== null) {
      return body as Body;
    }
  } catch {
    // Falls through to the same refusal.
  }
  throw new BadRequestError('the body must be a JSON object');
}
