import { failure, success } from '@apricotrill/utils';
import type { Milliseconds, Result } from '@apricotrill/utils';
import { z } from 'zod';

/** Where the accepted manifest lies in the store. */
export const MANIFEST_KEY = 'config/manifest';
/** Where parts lie, by content hash. */
export const PART_PREFIX = 'config/parts/';
/** Where earlier manifests lie, by generation. */
export const ARCHIVE_PREFIX = 'config/archive/';

/**
 * One accepted change.
 *
 * @public
 */
export interface AcceptedChange {
  /** One higher than the generation it was made against. */
  generation: number;
  /** The identity given by whoever asked for it; never accepted twice. */
  changeId: string;
  author: string;
  /** Milliseconds since the epoch, by the clock of whoever applied it. */
  acceptedAt: Milliseconds;
  /** Hash of the whole configuration after the change. */
  contentHash: string;
}

/**
 * Names a part: a text of some entries of the configuration.
 *
 * @public
 */
export interface PartReference {
  name: string;
  /** Of the part's text; the text lies in the store under it. */
  hash: string;
  /** In bytes of UTF-8. */
  size: number;
}

/**
 * What makes one generation of the configuration: the change that led to it and its parts.
 *
 * @public
 */
export interface Manifest extends AcceptedChange {
  parts: PartReference[];
  /** The changes before this one, newest first; as many as fit. */
  recent: AcceptedChange[];
}

const change = {
  generation: z.int().min(1),
  changeId: z.string().min(1),
  author: z.string(),
  acceptedAt: z.number(),
  contentHash: z.string(),
};

const manifestSchema = z.object({
  ...change,
  parts: z.array(z.object({ name: z.string(), hash: z.string(), size: z.int().min(0) })),
  recent: z.array(z.object(change)).default([]),
});

/**
 * Reads a manifest as it lies in the store or came from a peer.
 *
 * @returns the manifest, or what is wrong with the text
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
 * The change alone that a manifest stands for, without its parts.
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
