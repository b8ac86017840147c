import type { Replica } from '@apricotrill/model';
import { getHash } from '@apricotrill/utils';
import type { Milliseconds, Random } from '@apricotrill/utils';
import type { LoadReport } from '../messages.js';
import type { PolicyOptions } from '../policyOptions.js';
import type { SlotPlan } from '../SlotReserve/SlotReserve.js';
import type { Share } from '../SharedLimit/SharedLimit.js';
import { SlotAllowance } from '../SharedLimit/SlotAllowance.js';
import { LoadEstimate } from './LoadEstimate.js';
import { LatencyWindow } from './LatencyWindow.js';

/** First-token delays vary with the prompts, so their median is taken over a larger window. */
const FIRST_TOKEN_WINDOW_SIZE = 15;

/** Delays between tokens vary little, so five slow ones of nine are sufficient evidence. */
const TOKEN_GAP_WINDOW_SIZE = 9;

/**
 * The state of one replica as known to this daemon.
 *
 * @internal
 */
export class ReplicaState {
  readonly load = new LoadEstimate();

  /** First-token delays and inter-token delays, as multiples of the median of their class. */
  readonly firstTokenDelays = new LatencyWindow(FIRST_TOKEN_WINDOW_SIZE);

  readonly tokenGapDelays = new LatencyWindow(TOKEN_GAP_WINDOW_SIZE);

  readonly hash: number;

  /**
   * Whether the replica is much slower than its peers. A straggler receives only occasional probes.
   */
  isStraggler = false;

  /** When a straggler may be probed again. */
  nextProbeAt: Milliseconds = 0;

  /** When the replica was last compared with its peers. */
  comparedAt: Milliseconds = 0;

  private readonly options: PolicyOptions;

  private listed = true;

  private leaving = false;

  private entry: Replica;

  private readonly allowance: SlotAllowance;

  private models: ReadonlySet<string> | undefined;

  /** The number of running requests of this daemon by tier. */
  private readonly runningByTier: number[] = [];

  private cooldownUntil: Milliseconds = 0;

  private consecutiveFailures = 0;

  constructor(entry: Replica, options: PolicyOptions) {
    this.entry = entry;
    this.options = options;
    this.hash = getHash(entry.id);
    this.allowance = new SlotAllowance(options.maxReportAge);
  }

  get id(): string {
    return this.entry.id;
  }

  get replica(): Replica {
    return this.entry;
  }

  /** Whether the replica is in the current list of replicas. */
  get isListed(): boolean {
    return this.listed;
  }

  get isLeaving(): boolean {
    return this.leaving;
  }

  get share(): Share {
    return this.allowance.share;
  }

  /** Sets the newest entry of the replica from the list. */
  setEntry(entry: Replica): void {
    this.entry = entry;
    this.models = undefined;
    this.listed = true;
  }

  /** Marks the replica as no longer listed. */
  markUnlisted(): void {
    this.listed = false;
  }

  /** Sets whether the replica is leaving, as announced by itself or by others. */
  setLeaving(leaving: boolean): void {
    this.leaving = leaving;
  }

  /** Sets this daemon's share, and how all daemons use the slots. */
  setShare(share: Share, plan: SlotPlan): void {
    this.allowance.setShare(share, plan);
  }

  /** The models that are placed on this replica; empty if there is no placement. */
  getModels(): ReadonlySet<string> {
    this.models ??= new Set(this.entry.placement.map((entry) => entry.split('@')[0]!));
    return this.models;
  }

  /** Whether requests may be sent to the replica at all. */
  isEligible(): boolean {
    return this.listed && !this.leaving && this.share.isAssigned;
  }

  isCoolingDown(now: Milliseconds): boolean {
    return now < this.cooldownUntil;
  }

  /** The maximum number of requests that this daemon may have running at the replica. */
  getLimit(now: Milliseconds): number {
    return this.allowance.getLimit(now);
  }

  /**
   * How many requests may be sent above the limit, ahead of less urgent work. The engine runs them
   * first.
   */
  getOvercommit(): number {
    return Math.max(1, Math.ceil(this.replica.slots * this.options.overcommitRatio));
  }

  /**
   * The number of running requests of this daemon that belong to this tier or a more urgent one.
   */
  getRunningUpTo(tier: number): number {
    let sum = 0;
    for (let currentTier = 0; currentTier <= tier; currentTier += 1) {
      sum += this.runningByTier[currentTier] ?? 0;
    }
    return sum;
  }

  /** Records that a request was sent (1) or ended (-1). */
  recordRunningChange(now: Milliseconds, tier: number, change: 1 | -1): void {
    this.runningByTier[tier] = (this.runningByTier[tier] ?? 0) + change;
    this.load.recordChange(now, change);
  }

  /** The estimated load per slot if one more request were sent. */
  getPressure(now: Milliseconds): number {
    const { peerCorrelation, maxReportAge } = this.options;
    const correlatedPeers = (this.share.daemonCount - 1) * peerCorrelation;
    return (
      (this.load.getEstimate(now, correlatedPeers, maxReportAge) + 1) /
      Math.max(1, this.replica.slots)
    );
  }

  /** Applies a load report. */
  applyReport(loadReport: LoadReport, now: Milliseconds, random: Random): void {
    if (this.load.applyReport(loadReport, now)) {
      const load = this.load.getEstimate(now, 0, this.options.maxReportAge);
      const { measuredAt } = loadReport;
      this.allowance.applyReport({ load, ownLoad: this.load.ownRunning, measuredAt }, now, random);
    }
  }

  /**
   * Records a successful attempt and ends the cooldown of the replica.
   *
   * @returns whether the replica was in cooldown
   */
  recordSuccess(): boolean {
    const wasCoolingDown = this.cooldownUntil > 0;
    this.consecutiveFailures = 0;
    this.cooldownUntil = 0;
    return wasCoolingDown;
  }

  /**
   * Records a failed attempt.
   *
   * @param isUnreachable - whether the replica could not be reached at all, so that its cooldown
   * starts at once
   * @returns when the cooldown ends, or undefined if there is none
   */
  recordFailure(now: Milliseconds, isUnreachable: boolean): Milliseconds | undefined {
    const { failuresBeforeCooldown, cooldown, maxCooldown } = this.options;
    this.consecutiveFailures += 1;
    const excessFailures = this.consecutiveFailures - (isUnreachable ? 1 : failuresBeforeCooldown);
    if (excessFailures < 0) {
      return undefined;
    }
    return this.extendCooldown(now + Math.min(maxCooldown, cooldown * 2 ** excessFailures));
  }

  /**
   * Puts the replica into cooldown until the given time at least. It then receives requests only if
   * no other replica can.
   */
  extendCooldown(until: Milliseconds): Milliseconds {
    this.cooldownUntil = Math.max(this.cooldownUntil, until);
    return this.cooldownUntil;
  }

  /** Marks the replica as a straggler. From then on only its probes are evaluated. */
  markStraggler(now: Milliseconds): void {
    this.isStraggler = true;
    this.nextProbeAt = now + this.options.probeInterval;
    this.clearSamples();
  }

  /** Schedules the next probe after one was sent. */
  postponeProbe(now: Milliseconds): void {
    this.nextProbeAt = now + this.options.probeInterval;
  }

  clearStraggler(): void {
    this.isStraggler = false;
    this.clearSamples();
  }

  private clearSamples(): void {
    this.firstTokenDelays.clear();
    this.tokenGapDelays.clear();
  }
}
