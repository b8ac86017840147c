import { createHash } from 'node:crypto';
import type { PlacementRequest, PromptPart } from '../../messages.js';
import { quarantineOptions } from '../quarantineOptions.js';

/** Fingerprints of requests consist of base64url characters only. */
const PART_PREFIX = 'part:';

/** The digest is truncated to this length. */
const DIGEST_BYTES = 12;

/**
 * Returns the fingerprint of a part of prompts. It depends on the service, since another model may
 * well run the part.
 */
export function getPartFingerprint(service: string, { id }: PromptPart): string {
  const digest = createHash('sha256')
    .update(JSON.stringify([service, id]))
    .digest();
  return PART_PREFIX + digest.subarray(0, DIGEST_BYTES).toString('base64url');
}

/** Whether a fingerprint is that of a part of prompts; otherwise it is that of a request. */
export function isPartFingerprint(fingerprint: string): boolean {
  return fingerprint.startsWith(PART_PREFIX);
}

/** The parts that other prompts may share; the last part belongs to the request or its session. */
export function getSharedParts({ prompt }: Pick<PlacementRequest, 'prompt'>): PromptPart[] {
  return prompt?.parts.slice(0, -1).slice(0, quarantineOptions.maxPartsPerRequest) ?? [];
}

/**
 * Returns the fingerprints of all content that may be responsible if a replica crashes with the
 * request in flight: the shared parts of its prompt, and the request as a whole.
 *
 * @example
 * ```ts
 * getFingerprints({ fingerprint: 'f', service: 'llm', prompt }); // ['part:…', 'part:…', 'f']
 * ```
 */
export function getFingerprints(
  request: Pick<PlacementRequest, 'fingerprint' | 'service' | 'prompt'>,
): string[] {
  const parts = getSharedParts(request).map((part) => getPartFingerprint(request.service, part));
  return [...new Set([...parts, request.fingerprint])];
}
