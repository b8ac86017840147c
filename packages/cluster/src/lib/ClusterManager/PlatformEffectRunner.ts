import { ConfigurationStore, MANIFEST_KEY } from '@apricotrill/configuration';
import type { InstanceList, PlatformStore } from '@apricotrill/store';
import type { Clock } from '@apricotrill/utils';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { CoreEffect, CoreMessage } from '../coreMessages.js';

/** The effects that concern the platform. */
export type PlatformEffect = Extract<
  CoreEffect,
  { kind: 'start-watch' | 'end-watch' | 'read-manifest' | 'read-parts' | 'read-instances' }
>;

interface PlatformTaskSettings {
  clock: Clock;
  store: PlatformStore;
  instanceList: InstanceList;
  deliver: (message: CoreMessage) => void;
}

/** Carries out the core's calls to the platform; each call ends in exactly one message. */
export class PlatformTask {
  private readonly watches = new Map<number, AbortController>();

  private readonly configuration: ConfigurationStore;

  constructor(private readonly settings: PlatformTaskSettings) {
    this.configuration = new ConfigurationStore(settings);
  }

  carryOut(effect: PlatformEffect): void {
    switch (effect.kind) {
      case 'start-watch':
        this.watch(effect.watchId, effect.afterVersion);
        break;
      case 'end-watch':
        this.watches.get(effect.watchId)?.abort();
        this.watches.delete(effect.watchId);
        break;
      case 'read-manifest':
        this.deliver(this.readManifest(), { kind: 'manifest-read-failed' });
        break;
      case 'read-parts':
        this.deliver(this.readParts(effect.readId, effect.hashes), {
          kind: 'parts-read-failed',
          readId: effect.readId,
        });
        break;
      case 'read-instances':
        this.deliver(this.readInstances(), { kind: 'instances-read-failed' });
        break;
      default:
        throw exhaustiveSwitchError(effect);
    }
  }

  dispose(): void {
    this.watches.forEach((controller) => controller.abort());
    this.watches.clear();
  }

  /** A watch that the core has ended says nothing more: its answer would be taken for a new one's. */
  private watch(watchId: number, afterVersion: number): void {
    const { store, deliver } = this.settings;
    const controller = new AbortController();
    this.watches.set(watchId, controller);
    const tell = (message: CoreMessage) => {
      if (this.watches.delete(watchId)) {
        deliver(message);
      }
    };
    store.watch(MANIFEST_KEY, afterVersion, controller.signal).then(
      (changes) => tell({ kind: 'watch-answered', watchId, changes }),
      () => tell({ kind: 'watch-failed', watchId }),
    );
  }

  private deliver(answer: Promise<CoreMessage>, failure: CoreMessage): void {
    answer.then(this.settings.deliver, () => this.settings.deliver(failure));
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
