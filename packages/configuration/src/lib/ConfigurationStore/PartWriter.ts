import { StoreUnavailableError } from '@apricotrill/store';
import type { PlatformStore } from '@apricotrill/store';
import PQueue from 'p-queue';
import { PART_PREFIX } from '../Manifest.js';
import type { ConfigurationOptions } from '../options.js';
import type { ConfigurationPart } from '../parts/getConfigurationParts.js';
import type { StoredManifest } from './ConfigurationReader.js';

/** Attempts to write one part while others delete or rewrite it. */
const MAX_ATTEMPTS = 8;

/** Writes the parts of a change before its manifest. */
export class PartWriter {
  constructor(
    private readonly store: PlatformStore,
    private readonly options: ConfigurationOptions,
  ) {}

  /**
   * Makes sure that every part is in the store and stays there until the manifest update has been
   * accepted or rejected.
   *
   * @param base - the manifest that the change is based on; its own parts cannot be deleted
   * @throws StoreUnavailableError
   */
  async write(
    parts: readonly ConfigurationPart[],
    base: StoredManifest | undefined,
  ): Promise<void> {
    const baseHashes = new Set(base?.manifest.parts.map(({ hash }) => hash));
    const queue = new PQueue({ concurrency: this.options.maxConcurrentCalls });
    const newParts = parts.filter(({ hash }) => !baseHashes.has(hash));
    await queue.addAll(newParts.map((part) => () => this.writePart(part, base?.version ?? 0)));
  }

  /**
   * Ensures that the part has a higher version than the manifest. If the part is left over from an
   * earlier generation, the garbage collector may be about to delete it: the manifest would then
   * reference a missing part, and no daemon could read the configuration. Writing the part again
   * changes its version, and the collector's delete is conditional on the version.
   */
  private async writePart(part: ConfigurationPart, manifestVersion: number): Promise<void> {
    const key = PART_PREFIX + part.hash;
    let expectedVersion = 0;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      // eslint-disable-next-line no-await-in-loop -- each attempt starts from the version that the last one found
      const result = await this.store.put(key, part.text, expectedVersion);
      const isUpToDate =
        result.kind === 'conflict' &&
        result.current?.value === part.text &&
        result.current.version > manifestVersion;
      if (result.kind === 'accepted' || isUpToDate) {
        return;
      }
      expectedVersion = result.current?.version ?? 0;
    }
    throw new StoreUnavailableError(`${key} was changed by others during every attempt`, {
      step: 'write part',
      peer: 'platform store',
    });
  }
}
