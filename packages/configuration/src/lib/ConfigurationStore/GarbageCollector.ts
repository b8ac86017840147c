import type { PlatformStore, StoredObject } from '@apricotrill/store';
import PQueue from 'p-queue';
import { ARCHIVE_PREFIX, MANIFEST_KEY, PART_PREFIX, parseManifest } from '../Manifest.js';
import type { Manifest } from '../Manifest.js';
import type { ConfigurationOptions } from '../options.js';
import type { ConfigurationReader } from './ConfigurationReader.js';

/**
 * The result of a garbage collection.
 *
 * @public
 */
export type GarbageCollectionResult =
  | { kind: 'collected'; parts: number; manifests: number }
  /** The manifest was written in the meantime; nothing was deleted. */
  | { kind: 'conflict' };

/** Archived manifests, split by whether they are still retained. */
interface Archive {
  retained: Manifest[];
  expired: StoredObject[];
}

/** Deletes parts that no retained generation references, and expired archived manifests. */
export class GarbageCollector {
  constructor(
    private readonly store: PlatformStore,
    private readonly reader: ConfigurationReader,
    private readonly options: ConfigurationOptions,
  ) {}

  /**
   * A change that is being written may reference a part that is unused so far. If that part were
   * deleted and the change then accepted, no daemon could read the configuration. Three steps
   * prevent this:
   *
   * 1. The unused parts are listed.
   * 2. The manifest is written again unchanged, which changes its version. A change that read the
   *    manifest before this can no longer be accepted and starts over.
   * 3. Each part is deleted only if it still has the version it was listed with. A change that
   *    starts over writes the part again, which changes that version (see `PartWriter`).
   *
   * @throws StoreUnavailableError
   */
  async collect(): Promise<GarbageCollectionResult> {
    const stored = await this.reader.readManifest();
    if (stored === undefined) {
      return { kind: 'collected', parts: 0, manifests: 0 };
    }
    const archive = await this.getArchive(stored.manifest.generation);
    const used = [stored.manifest, ...archive.retained].flatMap((manifest) => manifest.parts);
    const unused = await this.getUnusedParts(new Set(used.map(({ hash }) => hash)));
    const fenceResult = await this.store.put(MANIFEST_KEY, stored.text, stored.version);
    if (fenceResult.kind === 'conflict') {
      return { kind: 'conflict' };
    }
    const parts = await this.deleteAll(unused);
    return { kind: 'collected', parts, manifests: await this.deleteAll(archive.expired) };
  }

  private async getArchive(generation: number): Promise<Archive> {
    const objects = await this.store.list(ARCHIVE_PREFIX);
    const oldestRetained = generation - this.options.archivedGenerations;
    const isRetained = ({ key }: StoredObject) =>
      Number(key.slice(ARCHIVE_PREFIX.length)) >= oldestRetained;
    const retained = objects.filter(isRetained).flatMap(({ value }) => {
      const manifest = parseManifest(value);
      return manifest.ok ? [manifest.value] : [];
    });
    return { retained, expired: objects.filter((object) => !isRetained(object)) };
  }

  private async getUnusedParts(used: ReadonlySet<string>): Promise<StoredObject[]> {
    const objects = await this.store.list(PART_PREFIX);
    return objects.filter(({ key }) => !used.has(key.slice(PART_PREFIX.length)));
  }

  /** Deletes the objects that were not written since they were listed, and returns their number. */
  private async deleteAll(objects: readonly StoredObject[]): Promise<number> {
    const queue = new PQueue({ concurrency: this.options.maxConcurrentCalls });
    const results = await queue.addAll(
      objects.map(
        ({ key, version }) =>
          () =>
            this.store.delete(key, version),
      ),
    );
    return results.filter(({ kind }) => kind === 'accepted').length;
  }
}
