import type { ObjectStore } from '@apricotrill/store';
import { MANIFEST_KEY, PART_PREFIX, parseManifest } from '../index.js';
import type { Manifest } from '../index.js';

/**
 * Observes the store's content directly, independent of lost and late messages. Records every
 * accepted manifest and every violation, such as an accepted manifest whose parts are missing.
 */
export class ManifestChainChecker {
  /** Accepted manifests, oldest first. */
  readonly chain: Manifest[] = [];

  readonly violations: string[] = [];

  constructor(private readonly objects: ObjectStore) {}

  /** Must be called after each call that reached the store. */
  observe(): void {
    const object = this.objects.get(MANIFEST_KEY);
    if (object === undefined) {
      return;
    }
    const manifest = parseManifest(object.value);
    if (!manifest.ok) {
      this.violations.push(manifest.error);
      return;
    }
    this.append(manifest.value);
    manifest.value.parts
      .filter(({ hash }) => this.objects.get(PART_PREFIX + hash) === undefined)
      .forEach(({ name }) => {
        this.violations.push(`generation ${manifest.value.generation} lacks part ${name}`);
      });
  }

  private append(manifest: Manifest): void {
    const last = this.chain.at(-1);
    if (last?.generation === manifest.generation && last.changeId === manifest.changeId) {
      return;
    }
    if (manifest.generation !== (last?.generation ?? 0) + 1) {
      this.violations.push(`generation ${manifest.generation} after ${last?.generation ?? 0}`);
    }
    if (this.chain.some(({ changeId }) => changeId === manifest.changeId)) {
      this.violations.push(`change ${manifest.changeId} applied twice`);
    }
    this.chain.push(manifest);
  }
}
