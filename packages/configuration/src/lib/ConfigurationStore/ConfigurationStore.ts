import type { Configuration } from '@apricotrill/model';
import { StoreUnavailableError } from '@apricotrill/store';
import type { PlatformStore } from '@apricotrill/store';
import type { Clock } from '@apricotrill/utils';
import type { ConfigurationDifference } from '../diff/getConfigurationDiff.js';
import type { ConfigurationSnapshot } from '../ActiveConfiguration/ActiveConfiguration.js';
import type { AcceptedChange, Manifest } from '../Manifest.js';
import { ARCHIVE_PREFIX, MANIFEST_KEY, getAcceptedChange } from '../Manifest.js';
import { defaultConfigurationOptions, MAX_RECENT_CHANGES } from '../options.js';
import type { ConfigurationOptions } from '../options.js';
import { getConfigurationParts, getPartsHash } from '../parts/getConfigurationParts.js';
import type { ConfigurationPart } from '../parts/getConfigurationParts.js';
import { checkSizes } from './checkSizes.js';
import { ConfigurationReader } from './ConfigurationReader.js';
import type { StoredManifest } from './ConfigurationReader.js';
import { GarbageCollector } from './GarbageCollector.js';
import type { GarbageCollectionResult } from './GarbageCollector.js';
import { getConflict } from './getConflict.js';
import { getChangeStatus } from './getChangeStatus.js';
import { PartWriter } from './PartWriter.js';

/**
 * A configuration to be accepted.
 *
 * @public
 */
export interface ConfigurationChange {
  configuration: Configuration;
  /** Identifies the change: the same on every retry, and never used for another change. */
  changeId: string;
  author: string;
  /** The generation that the change is based on; 0 before the first. */
  baseGeneration: number;
}

/**
 * The result of applying a change.
 *
 * @public
 */
export type ApplyResult =
  | { kind: 'accepted'; change: AcceptedChange }
  /** The base already has this content, so there is nothing to accept. */
  | { kind: 'unchanged'; accepted: AcceptedChange }
  /** Another change was accepted on the same base; this one never will be. */
  | {
      kind: 'conflict';
      accepted: AcceptedChange;
      /** What the accepted changes did to the base; absent if the base is no longer retained. */
      theirs?: ConfigurationDifference[];
      /** What this change would have done to the base, or without one to what is accepted. */
      mine: ConfigurationDifference[];
    }
  /** The store did not respond. Retry with the same change id; it is never applied twice. */
  | { kind: 'unavailable'; mayBeAccepted: boolean; error: Error }
  /** The base is so old that it is no longer known whether this change was accepted. */
  | { kind: 'forgotten'; accepted: AcceptedChange };

/** The state of one call of `apply` across its attempts. */
interface ApplyState {
  change: ConfigurationChange;
  parts: ConfigurationPart[];
  contentHash: string;
  /** Whether a manifest update was sent whose response was lost. */
  mayBeAccepted: boolean;
  error: Error | undefined;
}

/**
 * The accepted configuration in the platform's store: reads it, and applies changes by a
 * conditional update of the manifest.
 *
 * @example
 * ```ts
 * const store = new ConfigurationStore({ store: platformStore, clock: new SystemClock() });
 * const result = await store.apply({ configuration, changeId, author, baseGeneration: 12 });
 * ```
 * @public
 */
export class ConfigurationStore {
  private readonly store: PlatformStore;

  private readonly clock: Clock;

  private readonly options: ConfigurationOptions;

  private readonly reader: ConfigurationReader;

  private readonly partWriter: PartWriter;

  private readonly garbageCollector: GarbageCollector;

  constructor(settings: {
    store: PlatformStore;
    clock: Clock;
    options?: Partial<ConfigurationOptions>;
  }) {
    this.store = settings.store;
    this.clock = settings.clock;
    this.options = { ...defaultConfigurationOptions, ...settings.options };
    this.reader = new ConfigurationReader(this.store, this.options);
    this.partWriter = new PartWriter(this.store, this.options);
    this.garbageCollector = new GarbageCollector(this.store, this.reader, this.options);
  }

  /**
   * The accepted configuration, or undefined before the first change.
   *
   * @param knownTexts - part texts by hash that need not be read again
   * @throws StoreUnavailableError, ConfigurationError
   */
  read(knownTexts?: ReadonlyMap<string, string>): Promise<ConfigurationSnapshot | undefined> {
    return this.reader.read(knownTexts);
  }

  /**
   * The accepted manifest without its parts, or undefined before the first change.
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
   * An earlier generation, or undefined if it is no longer retained.
   *
   * @throws StoreUnavailableError, ConfigurationError
   */
  readArchived(generation: number): Promise<ConfigurationSnapshot | undefined> {
    return this.reader.readArchived(generation);
  }

  /**
   * Applies a change. Retrying with the same change id is safe: the result of an earlier attempt is
   * determined by reading back.
   *
   * @throws ConfigurationError when the change id belongs to another change, or the content of the
   *   store is not a valid configuration
   * @throws ValueTooLargeError when the configuration is too large for the store
   */
  async apply(change: ConfigurationChange): Promise<ApplyResult> {
    const parts = getConfigurationParts(change.configuration);
    checkSizes(parts);
    const contentHash = getPartsHash(parts);
    const state: ApplyState = {
      change,
      parts,
      contentHash,
      mayBeAccepted: false,
      error: undefined,
    };
    for (let attempt = 0; attempt < this.options.maxApplyAttempts; attempt += 1) {
      // eslint-disable-next-line no-await-in-loop -- each attempt depends on the result of the last
      const result = await this.attempt(state);
      if (result !== undefined) {
        return result;
      }
    }
    const error =
      state.error ?? new Error('the manifest was written by others during every attempt');
    return { kind: 'unavailable', mayBeAccepted: state.mayBeAccepted, error };
  }

  /**
   * Deletes parts that no retained generation references. Safe while changes are being applied.
   *
   * @throws StoreUnavailableError
   */
  collectGarbage(): Promise<GarbageCollectionResult> {
    return this.garbageCollector.collect();
  }

  /** Makes one attempt; undefined if another one is needed. */
  private async attempt(state: ApplyState): Promise<ApplyResult | undefined> {
    try {
      const stored = await this.reader.readManifest();
      const decided = await this.getDecidedResult(state, stored);
      return decided ?? (await this.write(state, stored));
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) {
        throw error;
      }
      // eslint-disable-next-line no-param-reassign -- the state is shared by the attempts of one apply
      state.error = error;
      return undefined;
    }
  }

  /** The result, if it already follows from what has been accepted. */
  private async getDecidedResult(
    { change, contentHash }: ApplyState,
    stored: StoredManifest | undefined,
  ): Promise<ApplyResult | undefined> {
    const status = await getChangeStatus(this.reader, { ...change, contentHash }, stored?.manifest);
    if (status.kind === 'accepted') {
      return { kind: 'accepted', change: status.change };
    }
    if (stored === undefined) {
      return undefined;
    }
    const accepted = getAcceptedChange(stored.manifest);
    if (status.kind === 'open') {
      return accepted.contentHash === contentHash ? { kind: 'unchanged', accepted } : undefined;
    }
    return status.kind === 'forgotten'
      ? { kind: 'forgotten', accepted }
      : getConflict(this.reader, change, accepted);
  }

  /**
   * Writes parts, archive and manifest in this order, so that everything is in place once the
   * manifest is accepted.
   */
  private async write(
    state: ApplyState,
    stored: StoredManifest | undefined,
  ): Promise<ApplyResult | undefined> {
    await this.partWriter.write(state.parts, stored);
    if (stored !== undefined) {
      await this.store.put(ARCHIVE_PREFIX + stored.manifest.generation, stored.text, 0);
    }
    const manifest = this.createManifest(state, stored?.manifest);
    const result = await this.putManifest(state, manifest, stored?.version ?? 0);
    return result.kind === 'accepted'
      ? { kind: 'accepted', change: getAcceptedChange(manifest) }
      : undefined;
  }

  private async putManifest(state: ApplyState, manifest: Manifest, expectedVersion: number) {
    try {
      return await this.store.put(MANIFEST_KEY, JSON.stringify(manifest), expectedVersion);
    } catch (error) {
      // The update may have taken effect; the next attempt determines this by reading back.
      // eslint-disable-next-line no-param-reassign -- the state is shared by the attempts of one apply
      state.mayBeAccepted = true;
      throw error;
    }
  }

  private createManifest({ change, parts, contentHash }: ApplyState, base?: Manifest): Manifest {
    const recent = base === undefined ? [] : [getAcceptedChange(base), ...base.recent];
    return {
      generation: change.baseGeneration + 1,
      changeId: change.changeId,
      author: change.author,
      acceptedAt: this.clock.now(),
      contentHash,
      parts: parts.map(({ name, hash, size }) => ({ name, hash, size })),
      recent: recent.slice(0, MAX_RECENT_CHANGES),
    };
  }
}
