import type { Manifest } from '@apricotrill/configuration';
import { MANIFEST_KEY, parseManifest } from '@apricotrill/configuration';
import type { StoreChange } from '@apricotrill/store';
import type { Milliseconds, Timer } from '@apricotrill/utils';
import { ConfigurationSource } from '../ClusterEvent.js';
import type { CoreContext } from '../CoreContext.js';
import { decide, jitter } from '../CoreContext.js';

interface StoreWatcherParts {
  context: CoreContext;
  onManifest: (manifest: Manifest) => void;
}

/**
 * Learns of new generations at the store while this daemon is one of its zone's watchers. It holds
 * a watch, and reads the manifest now and then beside it: a watch that went silent looks like one
 * with nothing to tell, and changes would stay unnoticed for good.
 */
export class StoreWatcher {
  private isOn = false;

  /** The highest version of the store seen. */
  private version = 0;

  /** The manifest read last and its version: the same text is not parsed twice. */
  private read: { manifest: Manifest; version: number } | undefined;

  private watchId = 0;

  private watchedAt: Milliseconds = 0;

  private failures = 0;

  private watchTimer: Timer | undefined;

  private renewalTimer: Timer | undefined;

  private pollTimer: Timer | undefined;

  constructor(private readonly parts: StoreWatcherParts) {}

  /** Whether this daemon watches now. */
  get isWatching(): boolean {
    return this.isOn;
  }

  /** Starts or ends the duty. */
  setDuty(isOn: boolean, rank: number): void {
    if (isOn === this.isOn) {
      return;
    }
    this.isOn = isOn;
    if (isOn) {
      decide(this.parts.context, { kind: 'watch-started', rank });
      this.poll();
      this.watch();
    } else {
      decide(this.parts.context, { kind: 'watch-ended' });
      this.stop();
    }
  }

  /** What the store holds, or undefined when it holds no manifest. */
  hearManifest(text: string | undefined, version: number): void {
    this.failures = 0;
    if (text !== undefined && version !== this.read?.version) {
      this.parse(text, version);
    }
    if (this.read !== undefined) {
      this.parts.onManifest(this.read.manifest);
    }
  }

  hearChanges(watchId: number, changes: readonly StoreChange[]): void {
    if (watchId !== this.watchId || !this.isOn) {
      return;
    }
    this.failures = 0;
    changes.forEach(({ key, value, version }) => {
      this.version = Math.max(this.version, version);
      if (key === MANIFEST_KEY) {
        this.hearManifest(value, version);
      }
    });
    this.watchAgain(changes.length > 0);
  }

  hearWatchFailure(watchId: number): void {
    if (watchId === this.watchId && this.isOn) {
      this.failures += 1;
      this.watchIn(this.getBackoff());
    }
  }

  dispose(): void {
    this.stop();
    this.isOn = false;
  }

  private parse(text: string, version: number): void {
    const manifest = parseManifest(text);
    if (manifest.ok) {
      this.read = { manifest: manifest.value, version };
    } else {
      decide(this.parts.context, {
        kind: 'configuration-refused',
        generation: 0,
        reason: manifest.error,
        peer: ConfigurationSource.Store,
      });
    }
  }

  private poll(): void {
    const { context } = this.parts;
    context.counters.manifestReads += 1;
    context.emit({ kind: 'read-manifest' });
    this.pollTimer = context.clock.setTimer(jitter(context, context.options.pollInterval), () =>
      this.poll(),
    );
  }

  private watch(): void {
    const { context } = this.parts;
    this.cancelWatchTimers();
    this.watchId += 1;
    this.watchedAt = context.clock.now();
    context.counters.watches += 1;
    context.emit({ kind: 'start-watch', watchId: this.watchId, afterVersion: this.version });
    this.renewalTimer = context.clock.setTimer(context.options.watchRenewal, () => this.renew());
  }

  /** A connection that something lost track of stays open and silent; a new watch gets a new one. */
  private renew(): void {
    this.parts.context.emit({ kind: 'end-watch', watchId: this.watchId });
    this.watch();
  }

  /** A watch that ends at once without a change would otherwise be asked for in a tight loop. */
  private watchAgain(broughtChanges: boolean): void {
    const { clock, options } = this.parts.context;
    const isEarly = clock.now() - this.watchedAt < options.storeBackoff;
    if (isEarly && !broughtChanges) {
      this.watchIn(options.storeBackoff);
    } else {
      this.watch();
    }
  }

  private watchIn(delay: Milliseconds): void {
    this.cancelWatchTimers();
    this.watchTimer = this.parts.context.clock.setTimer(delay, () => this.watch());
  }

  private getBackoff(): Milliseconds {
    const { context } = this.parts;
    const { storeBackoff, storeBackoffLimit } = context.options;
    const delay = Math.min(storeBackoffLimit, storeBackoff * 2 ** (this.failures - 1));
    return jitter(context, delay);
  }

  private stop(): void {
    this.parts.context.emit({ kind: 'end-watch', watchId: this.watchId });
    this.watchId += 1;
    this.cancelWatchTimers();
    this.pollTimer?.cancel();
  }

  private cancelWatchTimers(): void {
    this.watchTimer?.cancel();
    this.renewalTimer?.cancel();
  }
}
