import { ConfigurationStore, MANIFEST_KEY } from '@apricotrill/configuration';
import type { InstanceList, PlatformStore } from '@apricotrill/store';
import type { Clock } from '@apricotrill/utils';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { CoreEffect, CoreMessage } from '../coreMessages.js';

/** The effects that are calls to the platform. */
export type PlatformEffect = Extract<
  CoreEffect,
  { kind: 'start-watch' | 'end-watch' | 'read-manifest' | 'read-parts' | 'read-instances' }
>;

interface PlatformEffectRunnerSettings {
  clock: Clock;
  store: PlatformStore;
  instanceList: InstanceList;
  deliver: (message: CoreMessage) => void;
}

/** Runs the core's calls to the platform. Each call but an ended watch results in one message. */
export class PlatformEffectRunner {
  private readonly watches = new Map<number, AbortController>();

  private readonly configuration: ConfigurationStore;

  constructor(private readonly settings: PlatformEffectRunnerSettings) {
    this.configuration = new ConfigurationStore(settings);
  }

  run(effect: PlatformEffect): void {
    switch (effect.kind) {
      case 'start-watch':
        this.startWatch(effect.watchId, effect.afterVersion);
        break;
      case 'end-watch':
        this.watches.get(effect.watchId)?.abort();
        this.watches.delete(effect.watchId);
        break;
      case 'read-manifest':
        this.deliverResult(this.readManifest(), { kind: 'manifest-read-failed' });
        break;
      case 'read-parts':
        this.deliverResult(this.readParts(effect.readId, effect.hashes), {
          kind: 'parts-read-failed',
          readId: effect.readId,
        });
        break;
      case 'read-instances':
        this.deliverResult(this.readInstances(), { kind: 'instances-read-failed' });
        break;
      default:
        throw exhaustiveSwitchError(effect);
    }
  }

  dispose(): void {
    this.watches.forEach((controller) => controller.abort());
    this.watches.clear();
  }

  /**
   * Starts a watch. Its result is dropped once the core has ended the watch: it could be mistaken
   * for that of a newer one.
   */
  private startWatch(watchId: number, afterVersion: number): void {
    const { store, deliver } = this.settings;
    const controller = new AbortController();
    this.watches.set(watchId, controller);
    const deliverOnce = (message: CoreMessage) => {
      if (this.watches.delete(watchId)) {
        deliver(message);
      }
    };
    store.watch(MANIFEST_KEY, afterVersion, controller.signal).then(
      (changes) => deliverOnce({ kind: 'watch-completed', watchId, changes }),
      () => deliverOnce({ kind: 'watch-failed', watchId }),
    );
  }

  private deliverResult(result: Promise<CoreMessage>, failure: CoreMessage): void {
    result.then(this.settings.deliver, () => this.settings.deliver(failure));
  }

  private async readManifest(): Promise<CoreMessage> {
    const object = await this.settings.store.get(MANIFEST_KEY);
    return { kind: 'manifest-read', text: object?.value, version: object?.version ?? 0 };
  }

  private async readParts(readId: number, hashes: readonly string[]): Promise<CoreMessage> {
    return { kind: 'parts-read', readId, parts: await this.configuration.readParts(hashes) };
  }

  private async readInstances(): Promise<CoreMessage> {
    const instances = await this.settings.instanceList.getInstances();
    return { kind: 'instances-read', instances };
  }
}
