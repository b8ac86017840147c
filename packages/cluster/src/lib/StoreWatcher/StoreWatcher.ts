import type { Manifest } from '@apricotrill/configuration';
import { MANIFEST_KEY, parseManifest } from '@apricotrill/configuration';
import type { StoreChange } from '@apricotrill/store';
import type { Milliseconds, Timer } from '@apricotrill/utils';
import { ConfigurationSource } from '../ClusterEvent.js';
import type { CoreContext } from '../CoreContext.js';
import { emitEvent, addJitter } from '../CoreContext.js';

interface StoreWatcherSettings {
  context: CoreContext;
  onManifest: (manifest: Manifest) => void;
}

/**
 * Detects new generations in the store while this daemon is one of its availability zone's
 * watchers. It keeps a watch open and also polls the manifest: a watch that has gone silent is
 * indistinguishable from one without changes, which would then stay unnoticed.
 */
export class StoreWatcher {
  private isEnabled = false;

  /** The highest store version seen. */
  private highestVersion = 0;

  /** The latest manifest and its store version, so that the same text is not parsed twice. */
  private lastManifest: { manifest: Manifest; version: number } | undefined;

  private watchId = 0;

  private watchStartedAt: Milliseconds = 0;

  private consecutiveFailures = 0;

  private watchTimer: Timer | undefined;

  private renewalTimer: Timer | undefined;

  private pollTimer: Timer | undefined;

  constructor(private readonly settings: StoreWatcherSettings) {}

  get isWatching(): boolean {
    return this.isEnabled;
  }

  /**
   * Starts or stops watching.
   *
   * @param rank - this daemon's rank among the watchers, for the log
   */
  setEnabled(isEnabled: boolean, rank: number): void {
    if (isEnabled === this.isEnabled) {
      return;
    }
    this.isEnabled = isEnabled;
    if (isEnabled) {
      emitEvent(this.settings.context, { kind: 'watch-started', rank });
      this.poll();
      this.startWatch();
    } else {
      emitEvent(this.settings.context, { kind: 'watch-ended' });
      this.stop();
    }
  }

  /**
   * Handles a read of the manifest.
   *
   * @param text - undefined if the store holds no manifest
   */
  handleManifest(text: string | undefined, version: number): void {
    this.consecutiveFailures = 0;
    if (text !== undefined && version !== this.lastManifest?.version) {
      this.parseText(text, version);
    }
    if (this.lastManifest !== undefined) {
      this.settings.onManifest(this.lastManifest.manifest);
    }
  }

  handleChanges(watchId: number, changes: readonly StoreChange[]): void {
    if (watchId !== this.watchId || !this.isEnabled) {
      return;
    }
    this.consecutiveFailures = 0;
    changes.forEach(({ key, value, version }) => {
      this.highestVersion = Math.max(this.highestVersion, version);
      if (key === MANIFEST_KEY) {
        this.handleManifest(value, version);
      }
    });
    this.restartWatch(changes.length > 0);
  }

  handleWatchFailure(watchId: number): void {
    if (watchId === this.watchId && this.isEnabled) {
      this.consecutiveFailures += 1;
      this.scheduleWatch(this.getBackoff());
    }
  }

  dispose(): void {
    this.stop();
    this.isEnabled = false;
  }

  private parseText(text: string, version: number): void {
    const manifest = parseManifest(text);
    if (manifest.ok) {
      this.lastManifest = { manifest: manifest.value, version };
    } else {
      emitEvent(this.settings.context, {
        kind: 'configuration-refused',
        generation: 0,
        reason: manifest.error,
        peer: ConfigurationSource.Store,
      });
    }
  }

  private poll(): void {
    const { context } = this.settings;
    context.counters.manifestReads += 1;
    context.emit({ kind: 'read-manifest' });
    this.pollTimer = context.clock.setTimer(addJitter(context, context.options.pollInterval), () =>
      this.poll(),
    );
  }

  private startWatch(): void {
    const { context } = this.settings;
    this.cancelWatchTimers();
    this.watchId += 1;
    this.watchStartedAt = context.clock.now();
    context.counters.watches += 1;
    context.emit({ kind: 'start-watch', watchId: this.watchId, afterVersion: this.highestVersion });
    this.renewalTimer = context.clock.setTimer(context.options.watchRenewalInterval, () =>
      this.renewWatch(),
    );
  }

  /** Replaces the watch: its connection may be dead without having been closed. */
  private renewWatch(): void {
    this.settings.context.emit({ kind: 'end-watch', watchId: this.watchId });
    this.startWatch();
  }

  /**
   * Delays the next watch if this one returned immediately without a change, to avoid a tight loop.
   */
  private restartWatch(hasChanges: boolean): void {
    const { clock, options } = this.settings.context;
    const isEarly = clock.now() - this.watchStartedAt < options.minStoreBackoff;
    if (isEarly && !hasChanges) {
      this.scheduleWatch(options.minStoreBackoff);
    } else {
      this.startWatch();
    }
  }

  private scheduleWatch(delay: Milliseconds): void {
    this.cancelWatchTimers();
    this.watchTimer = this.settings.context.clock.setTimer(delay, () => this.startWatch());
  }

  private getBackoff(): Milliseconds {
    const { context } = this.settings;
    const { minStoreBackoff, maxStoreBackoff } = context.options;
    const delay = Math.min(maxStoreBackoff, minStoreBackoff * 2 ** (this.consecutiveFailures - 1));
    return addJitter(context, delay);
  }

  private stop(): void {
    this.settings.context.emit({ kind: 'end-watch', watchId: this.watchId });
    this.watchId += 1;
    this.cancelWatchTimers();
    this.pollTimer?.cancel();
  }

  private cancelWatchTimers(): void {
    this.watchTimer?.cancel();
    this.renewalTimer?.cancel();
  }
}
