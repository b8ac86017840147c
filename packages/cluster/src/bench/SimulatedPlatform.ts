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

/** How the platform looks from one daemon. */
export interface PlatformState {
  isDown: boolean;
  hasSilentWatches: boolean;
  latency: Milliseconds;
  getInstances: () => Instance[];
}

/** How long the platform holds a watch. */
const WATCH_WAIT: Milliseconds = 20_000;

/** One daemon's link to the platform: an {@link ObjectStore} and a list of instances. */
export class StoreLink {
  readonly counts = { reads: 0, watches: 0 };

  private readonly watches = new Map<number, () => void>();

  private deliverTo: Deliver | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly objects: ObjectStore,
    readonly platform: PlatformState,
  ) {}

  /** Watches waiting now. */
  get waiting(): number {
    return this.watches.size;
  }

  /** Fails every watch that waits, as when the platform goes down. */
  failWatches(): void {
    [...this.watches].forEach(([watchId, callOff]) => {
      callOff();
      this.watches.delete(watchId);
      this.deliverTo?.({ kind: 'watch-failed', watchId });
    });
  }

  carryOut(effect: StoreEffect, deliver: Deliver): void {
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
          instances: this.platform.getInstances(),
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

  private read(deliver: Deliver, failure: CoreMessage, getAnswer: () => CoreMessage): void {
    this.counts.reads += 1;
    const answer = this.platform.isDown ? failure : getAnswer();
    this.clock.setTimer(this.platform.latency, () => deliver(answer));
  }

  private watch(watchId: number, afterVersion: number, deliver: Deliver): void {
    this.counts.watches += 1;
    if (this.platform.isDown) {
      this.clock.setTimer(this.platform.latency, () => deliver({ kind: 'watch-failed', watchId }));
      return;
    }
    const callOff = this.objects.watch(MANIFEST_KEY, afterVersion, WATCH_WAIT, (changes) => {
      if (!this.platform.hasSilentWatches) {
        this.watches.delete(watchId);
        this.clock.setTimer(this.platform.latency, () =>
          deliver({ kind: 'watch-answered', watchId, changes }),
        );
      }
    });
    this.watches.set(watchId, callOff);
  }
}
