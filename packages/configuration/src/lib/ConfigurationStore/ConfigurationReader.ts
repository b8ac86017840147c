import type { PlatformStore } from '@apricotrill/store';
import PQueue from 'p-queue';
import { ConfigurationError } from '../ConfigurationError.js';
import type { ConfigurationSnapshot } from '../ActiveConfiguration/ActiveConfiguration.js';
import { ARCHIVE_PREFIX, MANIFEST_KEY, PART_PREFIX, parseManifest } from '../Manifest.js';
import type { Manifest } from '../Manifest.js';
import type { ConfigurationOptions } from '../options.js';
import { assembleConfiguration, getMissingHashes } from '../parts/assembleConfiguration.js';

/** A manifest with its text and the version of the store object it was read from. */
export interface StoredManifest {
  manifest: Manifest;
  text: string;
  version: number;
}

const PEER = 'platform store';

/** Reads manifests, parts and whole configurations from the store. */
export class ConfigurationReader {
  constructor(
    private readonly store: PlatformStore,
    private readonly options: ConfigurationOptions,
  ) {}

  readManifest(): Promise<StoredManifest | undefined> {
    return this.readManifestAt(MANIFEST_KEY);
  }

  readArchivedManifest(generation: number): Promise<StoredManifest | undefined> {
    return this.readManifestAt(ARCHIVE_PREFIX + generation);
  }

  async readParts(hashes: readonly string[]): Promise<Map<string, string>> {
    if (hashes.length > this.options.maxSingleReads) {
      return this.listParts(new Set(hashes));
    }
    const queue = new PQueue({ concurrency: this.options.maxConcurrentCalls });
    const objects = await queue.addAll(
      hashes.map((hash) => () => this.store.get(PART_PREFIX + hash)),
    );
    const found = objects.filter((object) => object !== undefined);
    return new Map(found.map(({ key, value }) => [key.slice(PART_PREFIX.length), value]));
  }

  /**
   * Reads the accepted configuration. While parts are read, a change may be accepted and the old
   * parts deleted; the read then starts over from the newer manifest.
   */
  async read(
    knownTexts: ReadonlyMap<string, string> = new Map(),
  ): Promise<ConfigurationSnapshot | undefined> {
    let reason = '';
    for (let attempt = 0; attempt < this.options.maxReadAttempts; attempt += 1) {
      // eslint-disable-next-line no-await-in-loop -- each attempt starts from a newer manifest
      const stored = await this.readManifest();
      // eslint-disable-next-line no-await-in-loop
      const result = stored === undefined ? undefined : await this.assemble(stored, knownTexts);
      if (typeof result !== 'string') {
        return result;
      }
      reason = result;
    }
    throw new ConfigurationError(reason, { step: 'read configuration', peer: PEER });
  }

  /** An earlier configuration, or undefined if it or one of its parts is no longer retained. */
  async readArchived(generation: number): Promise<ConfigurationSnapshot | undefined> {
    const stored = await this.readArchivedManifest(generation);
    const result = stored === undefined ? undefined : await this.assemble(stored, new Map());
    return typeof result === 'string' ? undefined : result;
  }

  private async readManifestAt(key: string): Promise<StoredManifest | undefined> {
    const object = await this.store.get(key);
    if (object === undefined) {
      return undefined;
    }
    const manifest = parseManifest(object.value);
    if (!manifest.ok) {
      const reason = `${key} does not hold a manifest: ${manifest.error}`;
      throw new ConfigurationError(reason, { step: 'read manifest', peer: PEER });
    }
    return { manifest: manifest.value, text: object.value, version: object.version };
  }

  private async listParts(hashes: ReadonlySet<string>): Promise<Map<string, string>> {
    const objects = await this.store.list(PART_PREFIX);
    return new Map(
      objects
        .map(({ key, value }) => [key.slice(PART_PREFIX.length), value] as const)
        .filter(([hash]) => hashes.has(hash)),
    );
  }

  /** The complete configuration, or the reason why it cannot be assembled. */
  private async assemble(
    { manifest }: StoredManifest,
    knownTexts: ReadonlyMap<string, string>,
  ): Promise<ConfigurationSnapshot | string> {
    const readTexts = await this.readParts(getMissingHashes(manifest, knownTexts));
    const texts = new Map([...knownTexts, ...readTexts]);
    const assembled = assembleConfiguration(manifest, texts);
    if (assembled.ok) {
      const parts = new Map(manifest.parts.map(({ hash }) => [hash, texts.get(hash)!]));
      return { manifest, parts, configuration: assembled.value };
    }
    return assembled.error.kind === 'missing-parts'
      ? `generation ${manifest.generation}: parts ${assembled.error.hashes.join(', ')} are missing`
      : `generation ${manifest.generation}: ${assembled.error.name}: ${assembled.error.reason}`;
  }
}
