import type { IncomingMessage } from 'node:http';

/** What became of reading a body. */
export type BodyResult =
  | { kind: 'whole'; body: Buffer | undefined }
  | { kind: 'too-large' }
  /** The caller left in the middle. */
  | { kind: 'cut' };

/**
 * Reads a request's body up to a limit.
 *
 * @param limit - in bytes
 */
export function readBody(request: IncomingMessage, limit: number): Promise<BodyResult> {
  if (Number(request.headers['content-length'] ?? 0) > limit) {
    return Promise.resolve({ kind: 'too-large' });
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limit) {
        resolve({ kind: 'too-large' });
        return;
      }
      chunks.push(chunk);
    });
    const hasBody =
      request.headers['content-length'] !== undefined ||
      request.headers['transfer-encoding'] !== undefined;
    request.once('end', () =>
      resolve({ kind: 'whole', body: hasBody ? Buffer.concat(chunks) : undefined }),
    );
    request.once('close', () => resolve({ kind: 'cut' }));
    request.once('error', () => resolve({ kind: 'cut' }));
  });
}
