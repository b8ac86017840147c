import { Buffer } from 'node:buffer';

const HEAD_END = Buffer.from('\r\n\r\n');

const LINE_END = Buffer.from('\r\n');

/** Reads a body in chunks from a position. @returns undefined while it is not complete */
function readChunks(bytes, from) {
  const parts = [];
  let at = from;
  for (;;) {
    const lineEnd = bytes.indexOf(LINE_END, at);
    if (lineEnd === -1) {
      return undefined;
    }
    const size = Number.parseInt(bytes.toString('latin1', at, lineEnd), 16);
    if (size === 0) {
      const end = bytes.indexOf(LINE_END, lineEnd + 2);
      return end === lineEnd + 2 ? { body: Buffer.concat(parts), end: end + 2 } : undefined;
    }
    const start = lineEnd + 2;
    if (bytes.length < start + size + 2) {
      return undefined;
    }
    parts.push(bytes.subarray(start, start + size));
    at = start + size + 2;
  }
}

/** Parses the head of a message of HTTP/1.1. @returns undefined while it is not complete */
export function readHead(bytes) {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd === -1) {
    return undefined;
  }
  const [line, ...lines] = bytes.toString('latin1', 0, headEnd).split('\r\n');
  const headers = new Map();
  lines.forEach((text) => {
    const colon = text.indexOf(':');
    headers.set(text.slice(0, colon).toLowerCase(), text.slice(colon + 1).trim());
  });
  return { line, headers, end: headEnd + 4 };
}

/**
 * Parses a message of HTTP/1.1 from the start of some bytes.
 *
 * @returns undefined while it is not complete
 */
export function readMessage(bytes) {
  const head = readHead(bytes);
  if (head === undefined) {
    return undefined;
  }
  const { line, headers, end } = head;
  if (headers.get('transfer-encoding') === 'chunked') {
    const chunks = readChunks(bytes, end);
    return chunks && { line, headers, ...chunks };
  }
  const length = Number(headers.get('content-length') ?? 0);
  return bytes.length < end + length
    ? undefined
    : { line, headers, body: bytes.subarray(end, end + length), end: end + length };
}
