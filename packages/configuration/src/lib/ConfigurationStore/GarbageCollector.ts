import type { PlatformStore, StoredObject } from '@apricotrill/store';
import PQueue from 'p-queue';
import { ARCHIVE_PREFIX, MANIFEST_KEY, PART_PREFIX, parseManifest } from '../Manifest.js';
import type { Manifest } from '../Manifest.js';
import type { ConfigurationOptions } from '../options.js';
import type { ConfigurationReader } from './ConfigurationReader.js';

/**
 * What a collection did.
 *
 * @public
 */
export type GarbageCollectionResult =
  | { kind: 'collected'; parts: number; manifests: number }
  /** A change was accepted meanwhile; nothing was deleted. */
  | { kind: 'raced' };

/** Archived manifests, divided by whether they are still kept. */
interface Archive {
  kept: Manifest[];
  old: StoredObject[];
}

/** Deletes what no kept generation names. */
export class GarbageCollector {
  constructor(
    private readonly store: PlatformStore,
    private readonly reader: ConfigurationReader,
    private readonly options: ConfigurationOptions,
  ) {}

  /**
   * What could go wrong: somebody is writing a change that names a part which looks unused now;
   * once the part is deleted and the change accepted, no daemon can read the configuration. Three
   * steps prevent it. The list of unused parts is made first. Then the manifest is written again
   * unchanged, which moves its version: a change that read the manifest before that can no longer
   * be accepted, and starts over. Then each part is deleted only at the version it was listed at:
   * a change that starts over writes the part again and so moves that version (see `PartWriter`).
   *
   * @throws StoreUnavailableError
   */
  async collect(): Promise<GarbageCollectionResult> {
    const stored = await this.reader.readManifest();
    if (stored === undefined) {
      return { kind: 'collected', parts: 0, manifests: 0 };
    }
    const archive = await this.getArchive(stored.manifest.generation);
    const used = [stored.manifest, ...archive.kept].flatMap((manifest) => manifest.parts);
    const unused = await this.getUnusedParts(new Set(used.map(({ hash }) => hash)));
    const fence = await this.store.put(MANIFEST_KEY, stored.text, stored.version);
    if (fence.kind === 'conflict') {
      return { kind: 'raced' };
    }
    const parts = await this.deleteAll(unused);
    return { kind: 'collected', parts, manifests: await this.deleteAll(archive.old) };
  }

  private async getArchive(generation: number): Promise<Archive> {
    const objects = await this.store.list(ARCHIVE_PREFIX);
    const lowest = generation - this.options.archivedGenerations;
    const isKept = ({ key }: StoredObject) => Number(key.slice(ARCHIVE_PREFIX.length)) >= lowest;
    const kept = objects.filter(isKept).flatMap(({ value }) => {
      const manifest = parseManifest(value);
      return manifest.ok ? [manifest.value] : [];
    });
    return { kept, old: objects.filter((object) => !isKept(object)) };
  }

  private async getUnusedParts(used: ReadonlySet<string>): Promise<StoredObject[]> {
    const objects = await this.store.list(PART_PREFIX);
    return objects.filter(({ key }) => !used.has(key.slice(PART_PREFIX.length)));
  }

  /** How many of the objects were still as listed and are deleted now. */
  private async deleteAll(objects: readonly StoredObject[]): Promise<number> {
    const queue = new PQueue({ concurrency: this.options.concurrentCalls });
    const outcomes = await queue.addAll(
      objects.map(
        ({ key, version }) =>
          () =>
            this.store.delete(key, version),
      ),
    );
    return outcomes.filter(({ kind }) => kind === 'accepted').length;
  }
}
