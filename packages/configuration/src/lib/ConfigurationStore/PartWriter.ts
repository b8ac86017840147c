import { StoreUnavailableError } from '@apricotrill/store';
import type { PlatformStore } from '@apricotrill/store';
import PQueue from 'p-queue';
import { PART_PREFIX } from '../Manifest.js';
import type { ConfigurationOptions } from '../options.js';
import type { ConfigurationPart } from '../parts/getConfigurationParts.js';
import type { StoredManifest } from './ConfigurationReader.js';

/** How often one part may be deleted or rewritten by others while it is being written. */
const MOST_TRIES = 8;

/** Writes the parts of a change ahead of its manifest. */
export class PartWriter {
  constructor(
    private readonly store: PlatformStore,
    private readonly options: ConfigurationOptions,
  ) {}

  /**
   * Makes sure that every part is in the store and stays there until the manifest was decided.
   *
   * @param base - the manifest that the change is made against; its own parts are safe
   * @throws StoreUnavailableError
   */
  async write(
    parts: readonly ConfigurationPart[],
    base: StoredManifest | undefined,
  ): Promise<void> {
    const safe = new Set(base?.manifest.parts.map(({ hash }) => hash));
    const queue = new PQueue({ concurrency: this.options.concurrentCalls });
    const fresh = parts.filter(({ hash }) => !safe.has(hash));
    await queue.addAll(fresh.map((part) => () => this.writePart(part, base?.version ?? 0)));
  }

  /**
   * Leaves the part at a version above the manifest's. Where it lies in the store already, left
   * over from an earlier generation, the garbage collector may be about to delete it: the manifest
   * would then name a part that is gone, and no daemon could read the configuration. Writing it
   * again moves its version, on which the collector's deletion is conditional.
   */
  private async writePart(part: ConfigurationPart, manifestVersion: number): Promise<void> {
    const key = PART_PREFIX + part.hash;
    let expectedVersion = 0;
    for (let attempt = 0; attempt < MOST_TRIES; attempt += 1) {
      // eslint-disable-next-line no-await-in-loop -- each try starts from the version of the last
      const outcome = await this.store.put(key, part.text, expectedVersion);
      const isRecent =
        outcome.kind === 'conflict' &&
        outcome.current?.value === part.text &&
        outcome.current.version > manifestVersion;
      if (outcome.kind === 'accepted' || isRecent) {
        return;
      }
      expectedVersion = outcome.current?.version ?? 0;
    }
    throw new StoreUnavailableError(`${key} keeps changing`, {
      step: 'write part',
      peer: 'platform store',
    });
  }
}
