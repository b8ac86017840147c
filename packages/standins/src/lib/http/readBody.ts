import type { IncomingMessage } from 'node:http';
import { BadRequestError, PayloadTooLargeError } from './requestErrors.js';

const DEFAULT_MAX_BYTES = 16 * 1_048_576;

/** Reads a whole body as text. @throws PayloadTooLargeError if it exceeds `maxBytes` */
export async function readBody(
  request: IncomingMessage,
  maxBytes = DEFAULT_MAX_BYTES,
): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;

  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size <= maxBytes) {
      chunks.push(chunk);
    }
  }
  if (size > maxBytes) {
    throw new PayloadTooLargeError(`the body has ${size} bytes, at most ${maxBytes} are taken`);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Reads a body as a JSON object. @throws BadRequestError if it is not one */
export async function readJson<Body extends object>(request: IncomingMessage): Promise<Body> {
  const text = await readBody(request);
  try {
    const body: unknown = JSON.parse(text);
    if (typeof body === 'object' && body !== null) {
      return body as Body;
    }
  } catch {
    // Falls through to the error below.
  }
  throw new BadRequestError('the body must be a JSON object');
}
