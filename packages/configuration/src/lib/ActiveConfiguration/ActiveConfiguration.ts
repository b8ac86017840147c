import type { Configuration } from '@apricotrill/model';
import type { Manifest } from '../Manifest.js';
import { assembleConfiguration, getMissingHashes } from '../parts/assembleConfiguration.js';
import type { ParsedParts } from '../parts/assembleConfiguration.js';

/**
 * A generation with everything needed to use it and to forward it to a peer.
 *
 * @public
 */
export interface ConfigurationSnapshot {
  manifest: Manifest;
  /** Part texts by hash. */
  parts: ReadonlyMap<string, string>;
  configuration: Configuration;
}

/**
 * The result of trying to activate a generation.
 *
 * @public
 */
export type ActivationResult =
  | { kind: 'in-force' }
  /** Not higher than the active generation: a late message, or one already received. */
  | { kind: 'not-newer'; generation: number }
  /** The same generation with different content: it was written without the store's conditions. */
  | { kind: 'divergent'; generation: number }
  /** The texts of these parts are needed as well. */
  | { kind: 'missing-parts'; hashes: string[] }
  | { kind: 'broken-part'; name: string; reason: string };

/** Called with each generation right after it became active. */
type Listener = (snapshot: ConfigurationSnapshot) => void;

function getRejection(current: Manifest, offered: Manifest): ActivationResult {
  const { generation } = current;
  const isDivergent =
    offered.generation === generation && offered.contentHash !== current.contentHash;
  return { kind: isDivergent ? 'divergent' : 'not-newer', generation };
}

/**
 * The active configuration of one daemon. It accepts a generation from any source, but only a
 * higher one: late messages, restarted peers and stale responses of the store cannot revert it.
 *
 * @example
 * ```ts
 * const activeConfiguration = new ActiveConfiguration();
 * activeConfiguration.subscribe(({ configuration }) => setRules(configuration.rules));
 * activeConfiguration.activate(manifest, texts);
 * ```
 * @public
 */
export class ActiveConfiguration {
  private current: ConfigurationSnapshot | undefined;

  private parsedParts: ParsedParts = new Map();

  private readonly listeners = new Set<Listener>();

  /** The active generation, or undefined before the first one. */
  get(): ConfigurationSnapshot | undefined {
    return this.current;
  }

  /** The number of the active generation; 0 before the first one. */
  getGeneration(): number {
    return this.current?.manifest.generation ?? 0;
  }

  /** Hashes of the parts that this manifest needs and that the active generation does not have. */
  getMissingHashes(manifest: Manifest): string[] {
    return getMissingHashes(manifest, this.current?.parts ?? new Map());
  }

  /**
   * Activates a generation if it is higher than the active one.
   *
   * @param texts - part texts by hash; those of the active generation may be left out
   */
  activate(manifest: Manifest, texts: ReadonlyMap<string, string>): ActivationResult {
    const { current } = this;
    if (current !== undefined && manifest.generation <= current.manifest.generation) {
      return getRejection(current.manifest, manifest);
    }
    const parts = this.getPartTexts(manifest, texts);
    const assembled = assembleConfiguration(manifest, parts, this.parsedParts);
    if (!assembled.ok) {
      return assembled.error;
    }
    this.current = { manifest, parts, configuration: assembled.value };
    this.parsedParts = new Map([...this.parsedParts].filter(([hash]) => parts.has(hash)));
    this.notify(this.current);
    return { kind: 'in-force' };
  }

  /**
   * Calls the listener after each new generation.
   *
   * @returns a function that removes the listener
   */
  subscribe(listener: Listener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  dispose(): void {
    this.listeners.clear();
  }

  /** Only the texts that the manifest references, so that unused parts are released. */
  private getPartTexts(
    manifest: Manifest,
    texts: ReadonlyMap<string, string>,
  ): Map<string, string> {
    const parts = new Map<string, string>();
    manifest.parts.forEach(({ hash }) => {
      const text = this.current?.parts.get(hash) ?? texts.get(hash);
      if (text !== undefined) {
        parts.set(hash, text);
      }
    });
    return parts;
  }

  /**
   * A listener that throws must not keep the others on the old generation. If a listener activates
   * a higher generation, the others have been notified of that one already and must not be notified
   * of this one afterwards.
   */
  private notify(snapshot: ConfigurationSnapshot): void {
    const errors: unknown[] = [];
    this.listeners.forEach((listener) => {
      try {
        if (this.current === snapshot) {
          listener(snapshot);
        }
      } catch (error) {
        errors.push(error);
      }
    });
    if (errors.length > 0) {
      throw new AggregateError(
        errors,
        `generation ${snapshot.manifest.generation}: listener failed`,
      );
    }
  }
}
