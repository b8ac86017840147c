import type { ConfigurationSnapshot, Manifest } from '@apricotrill/configuration';
import { assembleConfiguration, ActiveConfiguration } from '@apricotrill/configuration';
import type { Milliseconds } from '@apricotrill/utils';
import { ConfigurationSource } from '../ClusterEvent.js';
import type { CoreContext } from '../CoreContext.js';
import { emitEvent, pickRandom } from '../CoreContext.js';
import { ManifestHistory } from '../ManifestHistory/ManifestHistory.js';
import type { PeerResponse } from '../messages.js';
import type { PeerCalls } from '../PeerCalls/PeerCalls.js';
import { createManifestResponse, createPartsResponse } from './createFetchResponses.js';

type ManifestResponse = Extract<PeerResponse, { kind: 'manifest' }>;

/** Delay of the next manifest fetch after an assembly was abandoned. */
const RETRY_DELAY: Milliseconds = 1000;

const MAX_HASHES_PER_REQUEST = 128;

/** Where parts are fetched from. */
type PartSource = { kind: 'peer'; address: string } | { kind: 'store' };

/** A generation whose parts are being collected before it is activated. */
interface Assembly {
  manifest: Manifest;
  /** Where the manifest came from, for the log. */
  source: ConfigurationSource;
  peer: string;
  partTexts: Map<string, string>;
  partSource: PartSource;
  /** Names of the sources that failed to provide missing parts. */
  failedSources: Set<string>;
}

interface ConfigurationDistributorSettings {
  context: CoreContext;
  calls: PeerCalls;
  /** Notifies some peers immediately that a new generation is active here. */
  pushGeneration: () => void;
}

function getSourceName(source: PartSource): string {
  return source.kind === 'peer' ? source.address : ConfigurationSource.Store;
}

/**
 * Selects the texts that match their part in the manifest. A wrong text would be passed on to
 * peers, and would keep the correct one from being fetched.
 */
function getValidParts(manifest: Manifest, texts: ReadonlyMap<string, string>) {
  const validParts = manifest.parts.filter(
    (part) =>
      texts.has(part.hash) && assembleConfiguration({ ...manifest, parts: [part] }, texts).ok,
  );
  return new Map(validParts.map(({ hash }) => [hash, texts.get(hash)!]));
}

/**
 * Distributes generations of the configuration: learns of them from peers and from the store,
 * fetches the manifest and missing parts, activates them and passes them on to peers. What becomes
 * active is decided by {@link ActiveConfiguration} alone, which accepts higher generations only.
 */
export class ConfigurationDistributor {
  readonly activeConfiguration = new ActiveConfiguration();

  private readonly history = new ManifestHistory();

  /**
   * Addresses of the peers that have a higher generation than the active one, with that generation.
   */
  private readonly peerGenerations = new Map<string, number>();

  private assembly: Assembly | undefined;

  private isFetchingManifest = false;

  private nextFetchAt: Milliseconds = Number.NEGATIVE_INFINITY;

  private lastReadId = 0;

  constructor(private readonly settings: ConfigurationDistributorSettings) {}

  getGeneration(): number {
    return this.activeConfiguration.getGeneration();
  }

  /** Handles the active generation of a peer. */
  handleGeneration(generation: number, address: string): void {
    if (generation > this.getGeneration()) {
      this.peerGenerations.set(address, generation);
      this.fetchManifest();
    }
  }

  /** Handles a manifest read from the store. */
  handleStoreManifest(manifest: Manifest): void {
    const partSource: PartSource = { kind: 'store' };
    this.startAssembly(manifest, new Map(), partSource, ConfigurationSource.Store);
  }

  /** Handles parts read from the store: fewer than requested, or none, if it does not have them. */
  handleStoreParts(readId: number, parts: ReadonlyMap<string, string>): void {
    this.settings.context.counters.partsFromStore += parts.size;
    if (readId === this.lastReadId && this.assembly?.partSource.kind === 'store') {
      this.addParts(this.assembly, parts);
    }
  }

  /** Creates the response to a peer that holds a generation and fetches the active manifest. */
  createManifestResponse(heldGeneration: number): PeerResponse {
    const snapshot = this.activeConfiguration.get();
    return createManifestResponse(
      snapshot,
      heldGeneration,
      (manifest) => this.history.createTransfer(manifest, heldGeneration),
      this.settings.context.options.maxPartPageBytes,
    );
  }

  /** Creates the response to a peer that fetches parts. */
  createPartsResponse(hashes: readonly string[]): PeerResponse {
    return createPartsResponse(
      this.activeConfiguration.get(),
      hashes,
      this.settings.context.options.maxPartPageBytes,
    );
  }

  dispose(): void {
    this.activeConfiguration.dispose();
    this.assembly = undefined;
  }

  /** Fetches the manifest from one of the peers that have the highest generation. */
  private fetchManifest(): void {
    const { context, calls } = this.settings;
    const highestGeneration = Math.max(0, ...this.peerGenerations.values());
    const isWanted =
      highestGeneration > Math.max(this.getGeneration(), this.getAssemblingGeneration());
    if (!isWanted || this.isFetchingManifest || context.clock.now() < this.nextFetchAt) {
      return;
    }
    const addresses = [...this.peerGenerations.keys()].filter(
      (peer) => this.peerGenerations.get(peer) === highestGeneration,
    );
    const [address] = pickRandom(context, addresses, 1);
    const request = { kind: 'fetch-manifest', generation: this.getGeneration() } as const;
    this.isFetchingManifest = true;
    context.counters.fetches += 1;
    calls.call(address!, request, context.options.callTimeout, (response) => {
      this.isFetchingManifest = false;
      this.handleManifestResponse(address!, response);
    });
  }

  private getAssemblingGeneration(): number {
    return this.assembly?.manifest.generation ?? 0;
  }

  private handleManifestResponse(address: string, response: PeerResponse | undefined): void {
    const manifest =
      response?.kind === 'manifest' ? this.history.resolveTransfer(response.transfer) : undefined;
    if (manifest === undefined) {
      this.peerGenerations.delete(address);
      this.fetchManifest();
      return;
    }
    const { parts } = response as ManifestResponse;
    this.settings.context.counters.partsFromPeers += parts.size;
    this.startAssembly(manifest, parts, { kind: 'peer', address }, ConfigurationSource.Peer);
  }

  /** Starts to assemble a generation unless it, or a higher one, is active or being assembled. */
  private startAssembly(
    manifest: Manifest,
    partTexts: ReadonlyMap<string, string>,
    partSource: PartSource,
    source: ConfigurationSource,
  ): void {
    if (manifest.generation <= Math.max(this.getGeneration(), this.getAssemblingGeneration())) {
      return;
    }
    this.continueAssembly({
      manifest,
      source,
      peer: getSourceName(partSource),
      partTexts: new Map([
        ...(this.assembly?.partTexts ?? []),
        ...getValidParts(manifest, partTexts),
      ]),
      partSource,
      failedSources: new Set(),
    });
  }

  private continueAssembly(assembly: Assembly): void {
    this.assembly = assembly;
    const missingHashes = this.getMissingHashes(assembly);
    if (missingHashes.length === 0) {
      this.activate(assembly);
    } else if (assembly.partSource.kind === 'store') {
      this.lastReadId += 1;
      this.settings.context.counters.partReads += 1;
      this.settings.context.emit({
        kind: 'read-parts',
        readId: this.lastReadId,
        hashes: missingHashes,
      });
    } else {
      this.fetchParts(assembly, assembly.partSource.address, missingHashes);
    }
  }

  private getMissingHashes({ manifest, partTexts }: Assembly): string[] {
    return this.activeConfiguration
      .getMissingHashes(manifest)
      .filter((hash) => !partTexts.has(hash));
  }

  private fetchParts(assembly: Assembly, address: string, missingHashes: readonly string[]): void {
    const { calls, context } = this.settings;
    const hashes = missingHashes.slice(0, MAX_HASHES_PER_REQUEST);
    const request = { kind: 'fetch-parts', generation: this.getGeneration(), hashes } as const;
    calls.call(address, request, context.options.callTimeout, (response) => {
      if (assembly === this.assembly) {
        const parts = response?.kind === 'parts' ? response.parts : new Map<string, string>();
        context.counters.partsFromPeers += parts.size;
        this.addParts(assembly, parts);
      }
    });
  }

  private addParts(assembly: Assembly, parts: ReadonlyMap<string, string>): void {
    const missingHashes = new Set(this.getMissingHashes(assembly));
    const missingParts = new Map([...parts].filter(([hash]) => missingHashes.has(hash)));
    const validParts = getValidParts(assembly.manifest, missingParts);
    validParts.forEach((text, hash) => assembly.partTexts.set(hash, text));
    if (validParts.size > 0) {
      this.continueAssembly(assembly);
    } else {
      this.switchPartSource(assembly, 'parts are missing');
    }
  }

  /** Switches to another peer that has the generation, else to the store, else abandons it. */
  private switchPartSource(assembly: Assembly, reason: string): void {
    const { failedSources, manifest } = assembly;
    failedSources.add(getSourceName(assembly.partSource));
    const address = [...this.peerGenerations].find(
      ([peerAddress, generation]) =>
        generation >= manifest.generation && !failedSources.has(peerAddress),
    )?.[0];
    if (address !== undefined) {
      this.continueAssembly({ ...assembly, partSource: { kind: 'peer', address } });
    } else if (!failedSources.has(ConfigurationSource.Store)) {
      this.continueAssembly({ ...assembly, partSource: { kind: 'store' } });
    } else {
      this.abandonAssembly(assembly, reason);
    }
  }

  /**
   * Gives up on a generation for now: peers will report it again, and the store is polled again.
   */
  private abandonAssembly({ manifest, peer }: Assembly, reason: string): void {
    const { context } = this.settings;
    const { generation } = manifest;
    this.assembly = undefined;
    this.nextFetchAt = context.clock.now() + RETRY_DELAY;
    emitEvent(context, { kind: 'configuration-refused', generation, reason, peer });
  }

  private activate(assembly: Assembly): void {
    const { manifest, partTexts } = assembly;
    const result = this.activeConfiguration.activate(manifest, partTexts);
    switch (result.kind) {
      case 'in-force':
        this.assembly = undefined;
        this.handleActivation(assembly);
        break;
      case 'broken-part':
        this.abandonAssembly(assembly, `part ${result.name}: ${result.reason}`);
        break;
      case 'not-newer':
        this.assembly = undefined;
        break;
      case 'divergent':
      case 'missing-parts':
      default:
        this.abandonAssembly(assembly, result.kind);
    }
  }

  private handleActivation({ manifest, source, peer }: Assembly): void {
    const { context, pushGeneration } = this.settings;
    const { generation } = manifest;
    this.history.add(manifest);
    this.peerGenerations.forEach((peerGeneration, address) => {
      if (peerGeneration <= generation) {
        this.peerGenerations.delete(address);
      }
    });
    emitEvent(context, { kind: 'configuration-in-force', generation, source, peer });
    context.emit({
      kind: 'configuration',
      snapshot: this.activeConfiguration.get() as ConfigurationSnapshot,
    });
    pushGeneration();
    this.fetchManifest();
  }
}
