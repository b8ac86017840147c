import type { ConfigurationSnapshot, Manifest } from '@apricotrill/configuration';
import { assembleConfiguration, ActiveConfiguration } from '@apricotrill/configuration';
import type { Milliseconds } from '@apricotrill/utils';
import { ConfigurationSource } from '../ClusterEvent.js';
import type { CoreContext } from '../CoreContext.js';
import { decide, pickSome } from '../CoreContext.js';
import { ManifestHistory } from '../ManifestHistory/ManifestHistory.js';
import type { PeerAnswer } from '../messages.js';
import type { PeerCalls } from '../PeerCalls/PeerCalls.js';
import { getManifestAnswer, getPartsAnswer } from '../ConfigurationSpread/getFetchAnswers.js';

type ManifestAnswer = Extract<PeerAnswer, { kind: 'manifest' }>;

/** After a fetch that led nowhere, how long until the next. */
const RETRY_DELAY: Milliseconds = 1000;

/** Hashes in one request for parts. */
const HASHES_PER_REQUEST = 128;

/** Who gives parts: a peer's address, or the store. */
type Provider = { kind: 'peer'; address: string } | { kind: 'store' };

/** A generation on its way into force. */
interface Assembly {
  manifest: Manifest;
  /** Who told of it, for the log. */
  source: ConfigurationSource;
  peer: string;
  texts: Map<string, string>;
  provider: Provider;
  /** Providers that did not have what they should. */
  failed: Set<string>;
}

interface SpreadParts {
  context: CoreContext;
  calls: PeerCalls;
  /** Tells some peers at once that a new generation is in force here. */
  pushNews: () => void;
}

function getName(provider: Provider): string {
  return provider.kind === 'peer' ? provider.address : ConfigurationSource.Store;
}

/**
 * The texts that are what the manifest names them to be. A wrong one would be handed on to peers,
 * and would keep the right one from being asked for.
 */
function getSoundParts(manifest: Manifest, texts: ReadonlyMap<string, string>) {
  const sound = manifest.parts.filter(
    (part) =>
      texts.has(part.hash) && assembleConfiguration({ ...manifest, parts: [part] }, texts).ok,
  );
  return new Map(sound.map(({ hash }) => [hash, texts.get(hash)!]));
}

/**
 * Brings generations of the configuration into force: hears of them from peers and from the store,
 * fetches the manifest and the parts that are missing, and hands them on. What comes in force is
 * decided by {@link ActiveConfiguration} alone, which takes higher generations only.
 */
export class ConfigurationSpread {
  readonly inForce = new ActiveConfiguration();

  private readonly history = new ManifestHistory();

  /** Peers that told of a generation above the one in force. */
  private readonly tellers = new Map<string, number>();

  private assembly: Assembly | undefined;

  /** Whether a peer was asked for a manifest and has not answered. */
  private isAsking = false;

  private retryAt: Milliseconds = Number.NEGATIVE_INFINITY;

  private lastReadId = 0;

  constructor(private readonly parts: SpreadParts) {}

  getGeneration(): number {
    return this.inForce.getGeneration();
  }

  /** A peer has this generation in force. */
  hearGeneration(generation: number, address: string): void {
    if (generation > this.getGeneration()) {
      this.tellers.set(address, generation);
      this.ask();
    }
  }

  /** The store holds this manifest. */
  hearManifest(manifest: Manifest): void {
    const provider: Provider = { kind: 'store' };
    this.assemble(manifest, new Map(), provider, ConfigurationSource.Store);
  }

  /** Parts came from the store; fewer than asked for, or none, when it had no more. */
  hearStoreParts(readId: number, parts: ReadonlyMap<string, string>): void {
    this.parts.context.counters.partsFromStore += parts.size;
    if (readId === this.lastReadId && this.assembly?.provider.kind === 'store') {
      this.takeParts(this.assembly, parts);
    }
  }

  /** Answers a peer that holds a generation and asks for the manifest in force. */
  answerManifest(heldGeneration: number): PeerAnswer {
    const inForce = this.inForce.get();
    return getManifestAnswer(
      inForce,
      heldGeneration,
      (manifest) => this.history.getTransfer(manifest, heldGeneration),
      this.parts.context.options.partPageBytes,
    );
  }

  /** Answers a peer that asks for parts. */
  answerParts(hashes: readonly string[]): PeerAnswer {
    return getPartsAnswer(this.inForce.get(), hashes, this.parts.context.options.partPageBytes);
  }

  dispose(): void {
    this.inForce.dispose();
    this.assembly = undefined;
  }

  /** Asks one of the peers that told of the highest generation for its manifest. */
  private ask(): void {
    const { context, calls } = this.parts;
    const highest = Math.max(0, ...this.tellers.values());
    const isWanted = highest > Math.max(this.getGeneration(), this.getAssembling());
    if (!isWanted || this.isAsking || context.clock.now() < this.retryAt) {
      return;
    }
    const tellers = [...this.tellers.keys()].filter((key) => this.tellers.get(key) === highest);
    const [address] = pickSome(context, tellers, 1);
    const request = { kind: 'fetch-manifest', generation: this.getGeneration() } as const;
    this.isAsking = true;
    context.counters.fetches += 1;
    calls.call(address!, request, context.options.callTimeout, (answer) => {
      this.isAsking = false;
      this.takeManifest(address!, answer);
    });
  }

  private getAssembling(): number {
    return this.assembly?.manifest.generation ?? 0;
  }

  private takeManifest(address: string, answer: PeerAnswer | undefined): void {
    const manifest =
      answer?.kind === 'manifest' ? this.history.getManifest(answer.transfer) : undefined;
    if (manifest === undefined) {
      this.tellers.delete(address);
      this.ask();
      return;
    }
    const { parts } = answer as ManifestAnswer;
    this.parts.context.counters.partsFromPeers += parts.size;
    this.assemble(manifest, parts, { kind: 'peer', address }, ConfigurationSource.Peer);
  }

  /** Starts on a generation unless a higher one is in force or on its way. */
  private assemble(
    manifest: Manifest,
    texts: ReadonlyMap<string, string>,
    provider: Provider,
    source: ConfigurationSource,
  ): void {
    if (manifest.generation <= Math.max(this.getGeneration(), this.getAssembling())) {
      return;
    }
    this.proceed({
      manifest,
      source,
      peer: getName(provider),
      texts: new Map([...(this.assembly?.texts ?? []), ...getSoundParts(manifest, texts)]),
      provider,
      failed: new Set(),
    });
  }

  private proceed(assembly: Assembly): void {
    this.assembly = assembly;
    const missing = this.getMissing(assembly);
    if (missing.length === 0) {
      this.offer(assembly);
    } else if (assembly.provider.kind === 'store') {
      this.lastReadId += 1;
      this.parts.context.counters.partReads += 1;
      this.parts.context.emit({ kind: 'read-parts', readId: this.lastReadId, hashes: missing });
    } else {
      this.askForParts(assembly, assembly.provider.address, missing);
    }
  }

  private getMissing({ manifest, texts }: Assembly): string[] {
    return this.inForce.getMissingHashes(manifest).filter((hash) => !texts.has(hash));
  }

  private askForParts(assembly: Assembly, address: string, missing: readonly string[]): void {
    const { calls, context } = this.parts;
    const hashes = missing.slice(0, HASHES_PER_REQUEST);
    const request = { kind: 'fetch-parts', generation: this.getGeneration(), hashes } as const;
    calls.call(address, request, context.options.callTimeout, (answer) => {
      if (assembly === this.assembly) {
        const parts = answer?.kind === 'parts' ? answer.parts : new Map<string, string>();
        context.counters.partsFromPeers += parts.size;
        this.takeParts(assembly, parts);
      }
    });
  }

  private takeParts(assembly: Assembly, parts: ReadonlyMap<string, string>): void {
    const wanted = new Set(this.getMissing(assembly));
    const offered = new Map([...parts].filter(([hash]) => wanted.has(hash)));
    const sound = getSoundParts(assembly.manifest, offered);
    sound.forEach((text, hash) => assembly.texts.set(hash, text));
    if (sound.size > 0) {
      this.proceed(assembly);
    } else {
      this.changeProvider(assembly, 'parts are missing');
    }
  }

  /** Another peer that has the generation, else the store, else nobody for now. */
  private changeProvider(assembly: Assembly, reason: string): void {
    const { failed, manifest } = assembly;
    failed.add(getName(assembly.provider));
    const address = [...this.tellers].find(
      ([teller, generation]) => generation >= manifest.generation && !failed.has(teller),
    )?.[0];
    if (address !== undefined) {
      this.proceed({ ...assembly, provider: { kind: 'peer', address } });
    } else if (!failed.has(ConfigurationSource.Store)) {
      this.proceed({ ...assembly, provider: { kind: 'store' } });
    } else {
      this.giveUp(assembly, reason);
    }
  }

  /** Whoever told of the generation tells again, and the store is read again. */
  private giveUp({ manifest, peer }: Assembly, reason: string): void {
    const { context } = this.parts;
    const { generation } = manifest;
    this.assembly = undefined;
    this.retryAt = context.clock.now() + RETRY_DELAY;
    decide(context, { kind: 'configuration-refused', generation, reason, peer });
  }

  private offer(assembly: Assembly): void {
    const { manifest, texts } = assembly;
    const outcome = this.inForce.activate(manifest, texts);
    switch (outcome.kind) {
      case 'in-force':
        this.assembly = undefined;
        this.enter(assembly);
        break;
      case 'broken-part':
        this.giveUp(assembly, `part ${outcome.name}: ${outcome.reason}`);
        break;
      case 'not-newer':
        this.assembly = undefined;
        break;
      case 'divergent':
      case 'missing-parts':
      default:
        this.giveUp(assembly, outcome.kind);
    }
  }

  private enter({ manifest, source, peer }: Assembly): void {
    const { context, pushNews } = this.parts;
    const { generation } = manifest;
    this.history.add(manifest);
    this.tellers.forEach((told, address) => {
      if (told <= generation) {
        this.tellers.delete(address);
      }
    });
    decide(context, { kind: 'configuration-in-force', generation, source, peer });
    context.emit({ kind: 'configuration', inForce: this.inForce.get() as ConfigurationSnapshot });
    pushNews();
    this.ask();
  }
}
