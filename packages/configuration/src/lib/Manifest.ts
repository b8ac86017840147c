import { failure, success } from '@apricotrill/utils';
import type { Milliseconds, Result } from '@apricotrill/utils';
import { z } from 'zod';

/** Store key of the accepted manifest. */
export const MANIFEST_KEY = 'config/manifest';
/** Store key prefix of parts, followed by the content hash. */
export const PART_PREFIX = 'config/parts/';
/** Store key prefix of earlier manifests, followed by the generation. */
export const ARCHIVE_PREFIX = 'config/archive/';

/**
 * One accepted change.
 *
 * @public
 */
export interface AcceptedChange {
  /** One higher than the generation that the change is based on. */
  generation: number;
  /** Chosen by the author of the change; never accepted twice. */
  changeId: string;
  author: string;
  /** Milliseconds since the epoch, by the clock of the process that applied the change. */
  acceptedAt: Milliseconds;
  /** Hash of the whole configuration after the change. */
  contentHash: string;
}

/**
 * References a part: a text that contains some entries of the configuration.
 *
 * @public
 */
export interface PartReference {
  name: string;
  /** Hash of the part's text, under which the text is stored. */
  hash: string;
  /** In bytes of UTF-8. */
  size: number;
}

/**
 * Describes one generation of the configuration: the change that created it and its parts.
 *
 * @public
 */
export interface Manifest extends AcceptedChange {
  parts: PartReference[];
  /** The changes before this one, newest first, up to a maximum number. */
  recent: AcceptedChange[];
}

const acceptedChangeShape = {
  generation: z.int().min(1),
  changeId: z.string().min(1),
  author: z.string(),
  acceptedAt: z.number(),
  contentHash: z.string(),
};

const manifestSchema = z.object({
  ...acceptedChangeShape,
  parts: z.array(z.object({ name: z.string(), hash: z.string(), size: z.int().min(0) })),
  recent: z.array(z.object(acceptedChangeShape)).default([]),
});

/**
 * Parses a manifest that was read from the store or received from a peer.
 *
 * @returns the manifest, or why the text is invalid
 * @example
 * ```ts
 * const manifest = parseManifest(object.value);
 * ```
 * @public
 */
export function parseManifest(text: string): Result<Manifest, string> {
  try {
    const parsed = manifestSchema.safeParse(JSON.parse(text));
    return parsed.success ? success(parsed.data) : failure(z.prettifyError(parsed.error));
  } catch (error) {
    return failure(String(error));
  }
}

/**
 * The change that a manifest describes, without parts and recent changes.
 *
 * @example
 * ```ts
 * const changes = [getAcceptedChange(manifest), ...manifest.recent];
 * ```
 * @public
 */
export function getAcceptedChange(manifest: AcceptedChange): AcceptedChange {
  const { generation, changeId, author, acceptedAt, contentHash } = manifest;
  return { generation, changeId, author, acceptedAt, contentHash };
}
