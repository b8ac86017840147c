import type { Configuration } from '@apricotrill/model';
import { StoreUnavailableError } from '@apricotrill/store';
import type { PlatformStore } from '@apricotrill/store';
import type { Clock } from '@apricotrill/utils';
import type { ConfigurationDifference } from '../diff/getConfigurationDiff.js';
import type { ConfigurationSnapshot } from '../ActiveConfiguration/ActiveConfiguration.js';
import type { AcceptedChange, Manifest } from '../Manifest.js';
import { ARCHIVE_PREFIX, MANIFEST_KEY, getAcceptedChange } from '../Manifest.js';
import { DEFAULT_CONFIGURATION_OPTIONS, RECENT_CHANGES } from '../options.js';
import type { ConfigurationOptions } from '../options.js';
import { getConfigurationParts, getPartsHash } from '../parts/getConfigurationParts.js';
import type { ConfigurationPart } from '../parts/getConfigurationParts.js';
import { checkSizes } from './checkSizes.js';
import { ConfigurationReader } from './ConfigurationReader.js';
import type { StoredManifest } from './ConfigurationReader.js';
import { GarbageCollector } from './GarbageCollector.js';
import type { GarbageCollectionResult } from './GarbageCollector.js';
import { getConflict } from './getConflict.js';
import { getFate } from './getChangeStatus.js';
import { PartWriter } from './PartWriter.js';

/**
 * A configuration that somebody wants accepted.
 *
 * @public
 */
export interface ConfigurationChange {
  configuration: Configuration;
  /** The same for every attempt at this change, and for no other change. */
  changeId: string;
  author: string;
  /** The generation the change was made against; 0 before the first. */
  baseGeneration: number;
}

/**
 * What became of a change.
 *
 * @public
 */
export type ApplyResult =
  | { kind: 'accepted'; change: AcceptedChange }
  /** The base has this very content: there is nothing to accept. */
  | { kind: 'unchanged'; accepted: AcceptedChange }
  /** Another change was accepted on the same base; this one is not and never will be. */
  | {
      kind: 'conflict';
      accepted: AcceptedChange;
      /** What the accepted changes did to the base; absent when the base is no longer kept. */
      theirs?: ConfigurationDifference[];
      /** What this change would have done to the base (to what is accepted, without a base). */
      mine: ConfigurationDifference[];
    }
  /** The store gave no answer. Ask again with the same identity; it is never applied twice. */
  | { kind: 'unavailable'; mayBeAccepted: boolean; error: Error }
  /** So many changes came after the base that nobody remembers whether this one was among them. */
  | { kind: 'forgotten'; accepted: AcceptedChange };

/** The state of one apply over its attempts. */
interface Attempts {
  change: ConfigurationChange;
  parts: ConfigurationPart[];
  contentHash: string;
  /** Whether a manifest was sent whose answer never came. */
  mayBeAccepted: boolean;
  error: Error | undefined;
}

/**
 * The accepted configuration in the platform's store: reads it, and gets changes accepted by a
 * conditional update of the manifest.
 *
 * @example
 * ```ts
 * const store = new ConfigurationStore({ store: platformStore, clock: new SystemClock() });
 * const outcome = await store.apply({ configuration, changeId, author, baseGeneration: 12 });
 * ```
 * @public
 */
export class ConfigurationStore {
  private readonly store: PlatformStore;

  private readonly clock: Clock;

  private readonly options: ConfigurationOptions;

  private readonly reader: ConfigurationReader;

  private readonly writer: PartWriter;

  private readonly collector: GarbageCollector;

  constructor(parts: {
    store: PlatformStore;
    clock: Clock;
    options?: Partial<ConfigurationOptions>;
  }) {
    this.store = parts.store;
    this.clock = parts.clock;
    this.options = { ...DEFAULT_CONFIGURATION_OPTIONS, ...parts.options };
    this.reader = new ConfigurationReader(this.store, this.options);
    this.writer = new PartWriter(this.store, this.options);
    this.collector = new GarbageCollector(this.store, this.reader, this.options);
  }

  /**
   * The accepted configuration, or undefined before the first change.
   *
   * @param known - part texts by hash that need not be read again
   * @throws StoreUnavailableError, ConfigurationError
   */
  read(known?: ReadonlyMap<string, string>): Promise<ConfigurationSnapshot | undefined> {
    return this.reader.read(known);
  }

  /**
   * The accepted manifest alone, or undefined before the first change.
   *
   * @throws StoreUnavailableError, ConfigurationError
   */
  async readManifest(): Promise<Manifest | undefined> {
    return (await this.reader.readManifest())?.manifest;
  }

  /**
   * The texts of the parts that are in the store, by hash.
   *
   * @throws StoreUnavailableError
   */
  readParts(hashes: readonly string[]): Promise<Map<string, string>> {
    return this.reader.readParts(hashes);
  }

  /**
   * An earlier generation, or undefined when it is no longer kept.
   *
   * @throws StoreUnavailableError, ConfigurationError
   */
  readArchived(generation: number): Promise<ConfigurationSnapshot | undefined> {
    return this.reader.readArchived(generation);
  }

  /**
   * Gets a change accepted. Asking again with the same identity is harmless: whatever became of an
   * earlier attempt is found by reading back.
   *
   * @throws ConfigurationError when the identity belongs to another change, or the store holds
   *   something else than a configuration
   * @throws ValueTooLargeError when the configuration does not fit the store
   */
  async apply(change: ConfigurationChange): Promise<ApplyResult> {
    const parts = getConfigurationParts(change.configuration);
    checkSizes(parts);
    const contentHash = getPartsHash(parts);
    const attempts: Attempts = {
      change,
      parts,
      contentHash,
      mayBeAccepted: false,
      error: undefined,
    };
    for (let attempt = 0; attempt < this.options.applyAttempts; attempt += 1) {
      // eslint-disable-next-line no-await-in-loop -- each attempt starts from what the last one left
      const outcome = await this.attempt(attempts);
      if (outcome !== undefined) {
        return outcome;
      }
    }
    const error = attempts.error ?? new Error('other writes kept coming in between');
    return { kind: 'unavailable', mayBeAccepted: attempts.mayBeAccepted, error };
  }

  /**
   * Deletes parts that no kept generation names. Safe while changes are being applied.
   *
   * @throws StoreUnavailableError
   */
  collectGarbage(): Promise<GarbageCollectionResult> {
    return this.collector.collect();
  }

  /** One attempt; undefined when it has to start over. */
  private async attempt(attempts: Attempts): Promise<ApplyResult | undefined> {
    try {
      const stored = await this.reader.readManifest();
      const settled = await this.getSettled(attempts, stored);
      return settled ?? (await this.write(attempts, stored));
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) {
        throw error;
      }
      // eslint-disable-next-line no-param-reassign -- the attempts are one record of this apply
      attempts.error = error;
      return undefined;
    }
  }

  /** The outcome, if what is accepted by now already decides it. */
  private async getSettled(
    { change, contentHash }: Attempts,
    stored: StoredManifest | undefined,
  ): Promise<ApplyResult | undefined> {
    const fate = await getFate(this.reader, { ...change, contentHash }, stored?.manifest);
    if (fate.kind === 'accepted') {
      return { kind: 'accepted', change: fate.change };
    }
    if (stored === undefined) {
      return undefined;
    }
    const accepted = getAcceptedChange(stored.manifest);
    if (fate.kind === 'open') {
      return accepted.contentHash === contentHash ? { kind: 'unchanged', accepted } : undefined;
    }
    return fate.kind === 'forgotten'
      ? { kind: 'forgotten', accepted }
      : getConflict(this.reader, change, accepted);
  }

  /** Writes parts, archive and manifest, in this order, so that they are accepted together. */
  private async write(
    attempts: Attempts,
    stored: StoredManifest | undefined,
  ): Promise<ApplyResult | undefined> {
    await this.writer.write(attempts.parts, stored);
    if (stored !== undefined) {
      await this.store.put(ARCHIVE_PREFIX + stored.manifest.generation, stored.text, 0);
    }
    const manifest = this.createManifest(attempts, stored?.manifest);
    const outcome = await this.putManifest(attempts, manifest, stored?.version ?? 0);
    return outcome.kind === 'accepted'
      ? { kind: 'accepted', change: getAcceptedChange(manifest) }
      : undefined;
  }

  private async putManifest(attempts: Attempts, manifest: Manifest, expectedVersion: number) {
    try {
      return await this.store.put(MANIFEST_KEY, JSON.stringify(manifest), expectedVersion);
    } catch (error) {
      // The update may have taken effect: the next attempt finds out by reading back.
      // eslint-disable-next-line no-param-reassign -- the attempts are one record of this apply
      attempts.mayBeAccepted = true;
      throw error;
    }
  }

  private createManifest({ change, parts, contentHash }: Attempts, base?: Manifest): Manifest {
    const recent = base === undefined ? [] : [getAcceptedChange(base), ...base.recent];
    return {
      generation: change.baseGeneration + 1,
      changeId: change.changeId,
      author: change.author,
      acceptedAt: this.clock.now(),
      contentHash,
      parts: parts.map(({ name, hash, size }) => ({ name, hash, size })),
      recent: recent.slice(0, RECENT_CHANGES),
    };
  }
}
