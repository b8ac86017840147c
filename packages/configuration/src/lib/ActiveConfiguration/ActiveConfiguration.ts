import type { Configuration } from '@apricotrill/model';
import type { Manifest } from '../Manifest.js';
import { assembleConfiguration, getMissingHashes } from '../parts/assembleConfiguration.js';
import type { ReadParts } from '../parts/assembleConfiguration.js';

/**
 * A generation with everything needed to use it and to hand it on to a peer.
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
 * What became of a generation that was offered.
 *
 * @public
 */
export type ActivationResult =
  | { kind: 'in-force' }
  /** It is not above the one in force: a late message, or one already known. */
  | { kind: 'not-newer'; generation: number }
  /** The same generation with another content: somebody wrote past the store's conditions. */
  | { kind: 'divergent'; generation: number }
  /** These parts have to come along. */
  | { kind: 'missing-parts'; hashes: string[] }
  | { kind: 'broken-part'; name: string; reason: string };

/** Told of each generation right after it came in force. */
type Listener = (inForce: ConfigurationSnapshot) => void;

function getRefusal(current: Manifest, offered: Manifest): ActivationResult {
  const { generation } = current;
  const isOther = offered.generation === generation && offered.contentHash !== current.contentHash;
  return { kind: isOther ? 'divergent' : 'not-newer', generation };
}

/**
 * The configuration in force at one daemon. It takes a generation from anybody, and only ever a
 * higher one: late messages, restarted peers and old answers of the store cannot bring it back.
 *
 * @example
 * ```ts
 * const inForce = new InForceConfiguration();
 * inForce.subscribe(({ configuration }) => useRules(configuration.rules));
 * inForce.offer(manifest, texts);
 * ```
 * @public
 */
export class ActiveConfiguration {
  private current: ConfigurationSnapshot | undefined;

  private known: ReadParts = new Map();

  private readonly listeners = new Set<Listener>();

  /** What is in force, or undefined before the first generation came. */
  get(): ConfigurationSnapshot | undefined {
    return this.current;
  }

  /** The generation in force; 0 before the first one came. */
  getGeneration(): number {
    return this.current?.manifest.generation ?? 0;
  }

  /** The parts that would have to come along for this manifest; parts in force are kept. */
  getMissingHashes(manifest: Manifest): string[] {
    return getMissingHashes(manifest, this.current?.parts ?? new Map());
  }

  /**
   * Puts a generation in force if it is above the one that is.
   *
   * @param texts - part texts by hash; those already in force need not be there
   */
  activate(manifest: Manifest, texts: ReadonlyMap<string, string>): ActivationResult {
    const { current } = this;
    if (current !== undefined && manifest.generation <= current.manifest.generation) {
      return getRefusal(current.manifest, manifest);
    }
    const parts = this.getPartTexts(manifest, texts);
    const assembled = assembleConfiguration(manifest, parts, this.known);
    if (!assembled.ok) {
      return assembled.error;
    }
    this.current = { manifest, parts, configuration: assembled.value };
    this.known = new Map([...this.known].filter(([hash]) => parts.has(hash)));
    this.notify(this.current);
    return { kind: 'in-force' };
  }

  /**
   * Calls the listener after each new generation.
   *
   * @returns a function that ends it
   */
  subscribe(listener: Listener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  dispose(): void {
    this.listeners.clear();
  }

  /** The texts that the manifest names and nothing else, so that old parts are let go. */
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
   * A listener that throws must not keep the others on the old generation; and once a listener has
   * brought a higher generation, the others have been told of that one and must not be told of this
   * one after it.
   */
  private notify(inForce: ConfigurationSnapshot): void {
    const errors: unknown[] = [];
    this.listeners.forEach((listener) => {
      try {
        if (this.current === inForce) {
          listener(inForce);
        }
      } catch (error) {
        errors.push(error);
      }
    });
    if (errors.length > 0) {
      throw new AggregateError(
        errors,
        `generation ${inForce.manifest.generation}: listener failed`,
      );
    }
  }
}
