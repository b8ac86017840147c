import type { Milliseconds, Timer } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { decide, jitter } from '../CoreContext.js';
import type { ProbeTargets } from '../ProbeTargets/ProbeTargets.js';

/** So many links into a region must have failed before it counts as unreachable. */
const TELLING_FAILURES = 2;

/** A daemon of a smaller region is linked to from so many daemons at the usual interval. */
const LINKS_PER_DAEMON = 4;

interface RegionState {
  heardAt: Milliseconds;
  probedAt: Milliseconds;
  /** Links tried in a row without an answer. */
  failures: number;
  isReachable: boolean;
}

interface RegionReachParts {
  context: CoreContext;
  ownRegion: string;
  targets: ProbeTargets;
  probe: (member: string, onResult: (succeeded: boolean) => void) => void;
  /** Told when a region is lost or found again. */
  onChange: (region: string) => void;
}

/**
 * Keeps one link into each other region, and notices when a region as a whole can no longer be
 * reached. Its members then stay in the view as they were, marked unreachable: regions lose each
 * other for minutes, and dropping hundreds of healthy daemons one by one, to take them back later,
 * would move every duty twice.
 */
export class RegionReach {
  private readonly regions = new Map<string, RegionState>();

  private timer: Timer | undefined;

  constructor(private readonly parts: RegionReachParts) {}

  start(): void {
    const { context } = this.parts;
    const delay = jitter(context, context.options.probeInterval);
    this.timer = context.clock.setTimer(delay, () => {
      this.start();
      this.tick();
    });
  }

  isReachable(region: string): boolean {
    return this.regions.get(region)?.isReachable ?? true;
  }

  /** A daemon of the region was heard. */
  hear(region: string): void {
    const state = this.regions.get(region);
    if (state === undefined) {
      return;
    }
    state.heardAt = this.parts.context.clock.now();
    state.failures = 0;
    if (!state.isReachable) {
      state.isReachable = true;
      decide(this.parts.context, { kind: 'region-reachable', region });
      this.parts.onChange(region);
    }
  }

  dispose(): void {
    this.timer?.cancel();
  }

  private tick(): void {
    const { targets, ownRegion } = this.parts;
    targets.getRegions().forEach((_, region) => {
      if (region !== ownRegion) {
        this.tickRegion(region);
      }
    });
  }

  private tickRegion(region: string): void {
    const { context, targets } = this.parts;
    const now = context.clock.now();
    const state = this.getState(region);
    if (now - state.probedAt >= this.getInterval(region)) {
      state.probedAt = now;
      const link = targets.getLink(region, state.failures);
      if (link !== undefined) {
        this.parts.probe(link, (succeeded) => this.settle(region, succeeded));
      }
    }
    const isSilent = now - state.heardAt > context.options.regionSilence;
    if (state.isReachable && isSilent && state.failures >= TELLING_FAILURES) {
      state.isReachable = false;
      decide(context, { kind: 'region-unreachable', region });
      this.parts.onChange(region);
    }
  }

  private settle(region: string, succeeded: boolean): void {
    if (succeeded) {
      this.hear(region);
    } else {
      this.getState(region).failures += 1;
    }
  }

  /** Longer towards a region much smaller than the own one, so that it isn't overrun. */
  private getInterval(region: string): Milliseconds {
    const { context, targets, ownRegion } = this.parts;
    const share = targets.getRegionSize(ownRegion) / targets.getRegionSize(region);
    return context.options.crossRegionInterval * Math.max(1, share / LINKS_PER_DAEMON);
  }

  private getState(region: string): RegionState {
    const known = this.regions.get(region);
    if (known !== undefined) {
      return known;
    }
    const now = this.parts.context.clock.now();
    const state = {
      heardAt: now,
      probedAt: Number.NEGATIVE_INFINITY,
      failures: 0,
      isReachable: true,
    };
    this.regions.set(region, state);
    return state;
  }
}
