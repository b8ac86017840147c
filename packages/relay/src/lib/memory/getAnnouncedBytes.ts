import type { IncomingMessage } from 'node:http';

/**
 * Returns the announced size of a body in bytes; the largest one if none is announced.
 *
 * @param maxBytes - size of the largest body that is read
 * @example
 * ```ts
 * memory.tryAdmit({ urgency, bytes: getAnnouncedBytes(request, maxBytes), headBytes });
 * ```
 */
export function getAnnouncedBytes(
  { headers }: Pick<IncomingMessage, 'headers'>,
  maxBytes: number,
): number {
  if (headers['transfer-encoding'] !== undefined) {
    return maxBytes;
  }
  return Math.min(Number(headers['content-length'] ?? 0), maxBytes);
}
