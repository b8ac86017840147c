import { MANIFEST_KEY, PART_PREFIX } from '@apricotrill/configuration';
import type { Instance, ObjectStore } from '@apricotrill/store';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { CoreEffect, CoreMessage } from '../lib/coreMessages.js';

type StoreEffect = Extract<
  CoreEffect,
  { kind: 'start-watch' | 'end-watch' | 'read-manifest' | 'read-parts' | 'read-instances' }
>;

type Deliver = (message: CoreMessage) => void;

/** The state of the platform as one daemon sees it. */
export interface PlatformState {
  isDown: boolean;
  hasSilentWatches: boolean;
  latency: Milliseconds;
  getInstances: () => Instance[];
}

/** How long the platform keeps a watch open. */
const WATCH_TIMEOUT: Milliseconds = 20_000;

/** One daemon's simulated connection to the platform: an {@link ObjectStore} and instance list. */
export class SimulatedPlatform {
  readonly counts = { reads: 0, watches: 0 };

  private readonly watches = new Map<number, () => void>();

  private deliverTo: Deliver | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly objects: ObjectStore,
    readonly state: PlatformState,
  ) {}

  /** The number of open watches. */
  get waitingCount(): number {
    return this.watches.size;
  }

  /** Fails all open watches, as when the platform goes down. */
  failWatches(): void {
    [...this.watches].forEach(([watchId, callOff]) => {
      callOff();
      this.watches.delete(watchId);
      this.deliverTo?.({ kind: 'watch-failed', watchId });
    });
  }

  /** Executes a core's effect; its result is delivered after the platform's latency. */
  execute(effect: StoreEffect, deliver: Deliver): void {
    this.deliverTo = deliver;
    switch (effect.kind) {
      case 'start-watch':
        this.watch(effect.watchId, effect.afterVersion, deliver);
        break;
      case 'end-watch':
        this.watches.get(effect.watchId)?.();
        this.watches.delete(effect.watchId);
        break;
      case 'read-manifest':
        this.read(deliver, { kind: 'manifest-read-failed' }, () => {
          const object = this.objects.get(MANIFEST_KEY);
          return { kind: 'manifest-read', text: object?.value, version: object?.version ?? 0 };
        });
        break;
      case 'read-parts':
        this.read(deliver, { kind: 'parts-read-failed', readId: effect.readId }, () => ({
          kind: 'parts-read',
          readId: effect.readId,
          parts: this.getParts(effect.hashes),
        }));
        break;
      case 'read-instances':
        this.read(deliver, { kind: 'instances-read-failed' }, () => ({
          kind: 'instances-read',
          instances: this.state.getInstances(),
        }));
        break;
      default:
        throw exhaustiveSwitchError(effect);
    }
  }

  private getParts(hashes: readonly string[]): Map<string, string> {
    const objects = hashes.map((hash) => [hash, this.objects.get(PART_PREFIX + hash)] as const);
    return new Map(objects.flatMap(([hash, object]) => (object ? [[hash, object.value]] : [])));
  }

  private read(deliver: Deliver, failure: CoreMessage, getResponse: () => CoreMessage): void {
    this.counts.reads += 1;
    const response = this.state.isDown ? failure : getResponse();
    this.clock.setTimer(this.state.latency, () => deliver(response));
  }

  private watch(watchId: number, afterVersion: number, deliver: Deliver): void {
    this.counts.watches += 1;
    if (this.state.isDown) {
      this.clock.setTimer(this.state.latency, () => deliver({ kind: 'watch-failed', watchId }));
      return;
    }
    const callOff = this.objects.watch(MANIFEST_KEY, afterVersion, WATCH_TIMEOUT, (changes) => {
      if (!this.state.hasSilentWatches) {
        this.watches.delete(watchId);
        this.clock.setTimer(this.state.latency, () =>
          deliver({ kind: 'watch-completed', watchId, changes }),
        );
      }
    });
    this.watches.set(watchId, callOff);
  }
}
