import { createHash } from 'node:crypto';

/** The parts of a request that stay the same when the caller repeats it. */
export interface RequestContent {
  method: string;
  host: string;
  /** Path and query. */
  target: string;
  /** The workspace name, or the key of a caller without a workspace. */
  caller: string;
  body: Buffer | undefined;
}

/** The digest is truncated to this length. */
const FINGERPRINT_BYTES = 12;

/**
 * Returns a truncated digest of a request's content and caller. Repeated requests have the same
 * fingerprint on every daemon. The hash is cryptographic so that a caller cannot craft a request
 * that matches the fingerprint of another.
 *
 * @example
 * ```ts
 * getRequestFingerprint({ method: 'GET', host: 'a.example', target: '/a/', caller: 'w', body: undefined });
 * ```
 */
export function getRequestFingerprint(content: RequestContent): string {
  const { method, host, target, caller, body } = content;
  const hash = createHash('sha256').update(JSON.stringify([method, host, target, caller]));
  if (body !== undefined) {
    hash.update(body);
  }
  return hash.digest().subarray(0, FINGERPRINT_BYTES).toString('base64url');
}
