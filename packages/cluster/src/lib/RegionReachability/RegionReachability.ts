import type { Milliseconds, Timer } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { emitEvent, addJitter } from '../CoreContext.js';
import type { ProbeTargets } from '../ProbeTargets/ProbeTargets.js';

/** This many links into a region must have failed in a row before it counts as unreachable. */
const MIN_FAILED_LINKS = 2;

/** With more links to each daemon of a smaller region than this, the probe interval is extended. */
const MAX_LINKS_PER_DAEMON = 4;

interface RegionState {
  lastContactAt: Milliseconds;
  lastProbeAt: Milliseconds;
  consecutiveFailures: number;
  isReachable: boolean;
}

interface RegionReachabilitySettings {
  context: CoreContext;
  ownRegion: string;
  targets: ProbeTargets;
  probe: (member: string, onResult: (succeeded: boolean) => void) => void;
  /** Called when a region becomes unreachable, or reachable again. */
  onChange: (region: string) => void;
}

/**
 * Probes one link into each other region, and detects that a region as a whole is unreachable. Its
 * members then keep their last state and are marked unreachable: regions lose contact for minutes
 * at a time, and dropping hundreds of healthy daemons one by one and adding them again later would
 * move every duty twice.
 */
export class RegionReachability {
  private readonly regions = new Map<string, RegionState>();

  private timer: Timer | undefined;

  constructor(private readonly settings: RegionReachabilitySettings) {}

  start(): void {
    const { context } = this.settings;
    const delay = addJitter(context, context.options.probeInterval);
    this.timer = context.clock.setTimer(delay, () => {
      this.start();
      this.probeRegions();
    });
  }

  isReachable(region: string): boolean {
    return this.regions.get(region)?.isReachable ?? true;
  }

  /** Records that a message of a daemon of the region was received. */
  recordContact(region: string): void {
    const state = this.regions.get(region);
    if (state === undefined) {
      return;
    }
    state.lastContactAt = this.settings.context.clock.now();
    state.consecutiveFailures = 0;
    if (!state.isReachable) {
      state.isReachable = true;
      emitEvent(this.settings.context, { kind: 'region-reachable', region });
      this.settings.onChange(region);
    }
  }

  dispose(): void {
    this.timer?.cancel();
  }

  private probeRegions(): void {
    const { targets, ownRegion } = this.settings;
    targets.getRegions().forEach((_, region) => {
      if (region !== ownRegion) {
        this.updateRegion(region);
      }
    });
  }

  private updateRegion(region: string): void {
    const { context, targets } = this.settings;
    const now = context.clock.now();
    const state = this.getState(region);
    if (now - state.lastProbeAt >= this.getProbeInterval(region)) {
      state.lastProbeAt = now;
      const link = targets.getLink(region, state.consecutiveFailures);
      if (link !== undefined) {
        this.settings.probe(link, (succeeded) => this.recordProbeResult(region, succeeded));
      }
    }
    const isSilent = now - state.lastContactAt > context.options.regionTimeout;
    if (state.isReachable && isSilent && state.consecutiveFailures >= MIN_FAILED_LINKS) {
      state.isReachable = false;
      emitEvent(context, { kind: 'region-unreachable', region });
      this.settings.onChange(region);
    }
  }

  private recordProbeResult(region: string, succeeded: boolean): void {
    if (succeeded) {
      this.recordContact(region);
    } else {
      this.getState(region).consecutiveFailures += 1;
    }
  }

  /** The probe interval is longer for a much smaller region, so that it isn't overloaded. */
  private getProbeInterval(region: string): Milliseconds {
    const { context, targets, ownRegion } = this.settings;
    const sizeRatio = targets.getRegionSize(ownRegion) / targets.getRegionSize(region);
    return context.options.crossRegionProbeInterval * Math.max(1, sizeRatio / MAX_LINKS_PER_DAEMON);
  }

  private getState(region: string): RegionState {
    const known = this.regions.get(region);
    if (known !== undefined) {
      return known;
    }
    const now = this.settings.context.clock.now();
    const state = {
      lastContactAt: now,
      lastProbeAt: Number.NEGATIVE_INFINITY,
      consecutiveFailures: 0,
      isReachable: true,
    };
    this.regions.set(region, state);
    return state;
  }
}
