import type { Replica } from '@apricotrill/model';
import { getHash } from '@apricotrill/utils';
import type { Milliseconds, Random } from '@apricotrill/utils';
import type { LoadReport } from '../messages.js';
import type { PolicyOptions } from '../policyOptions.js';
import type { SlotPlan } from '../Reserve/Reserve.js';
import type { Share } from '../SharedLimit/SharedLimit.js';
import { SlotAllowance } from '../SharedLimit/SlotAllowance.js';
import { CorrectedLoad } from './CorrectedLoad.js';
import { LatencyWindow } from './LatencyWindow.js';

/** First tokens kept of a replica: they vary with prompts, so the median is to move slowly. */
const FIRST_TOKENS = 15;

/** Token gaps kept: they vary little, so five slow ones are enough. */
const TOKEN_GAPS = 9;

/**
 * What this daemon knows of one replica.
 *
 * @internal
 */
export class ReplicaState {
  readonly load = new CorrectedLoad();

  /** Delays of first tokens and between tokens, as multiples of what is usual for their class. */
  readonly firstTokens = new LatencyWindow(FIRST_TOKENS);

  readonly tokenGaps = new LatencyWindow(TOKEN_GAPS);

  readonly hash: number;

  /** Much slower than its peers: gets a probe now and then, nothing else. */
  convicted = false;

  /** When a convicted replica may be probed again. */
  probeAt: Milliseconds = 0;

  /** When it was last compared with its peers. */
  judgedAt: Milliseconds = 0;

  private readonly options: PolicyOptions;

  private listed = true;

  private leaving = false;

  private description: Replica;

  private readonly allowance: SlotAllowance;

  private models: ReadonlySet<string> | undefined;

  /** This daemon's running requests by tier. */
  private readonly byTier: number[] = [];

  private avoidUntil: Milliseconds = 0;

  private failures = 0;

  constructor(description: Replica, options: PolicyOptions) {
    this.description = description;
    this.options = options;
    this.hash = getHash(description.id);
    this.allowance = new SlotAllowance(options.maxReportAge);
  }

  get id(): string {
    return this.description.id;
  }

  get replica(): Replica {
    return this.description;
  }

  /** Whether it stands in the list of replicas. */
  get isListed(): boolean {
    return this.listed;
  }

  get isLeaving(): boolean {
    return this.leaving;
  }

  get share(): Share {
    return this.allowance.share;
  }

  /** Takes the newest entry of the register. */
  describe(description: Replica): void {
    this.description = description;
    this.models = undefined;
    this.listed = true;
  }

  /** The list no longer has it. */
  unlist(): void {
    this.listed = false;
  }

  /** Somebody said that it is leaving, or that it takes work again. */
  setLeaving(leaving: boolean): void {
    this.leaving = leaving;
  }

  /** Takes this daemon's part, and how all of them use the slots. */
  setShare(share: Share, plan: SlotPlan): void {
    this.allowance.setShare(share, plan);
  }

  /** The models that placement keeps here; none when it was told nothing. */
  getModels(): ReadonlySet<string> {
    this.models ??= new Set(this.description.placement.map((entry) => entry.split('@')[0]!));
    return this.models;
  }

  /** Whether it may be sent anything at all. */
  isUsable(): boolean {
    return this.listed && !this.leaving && this.share.isIn;
  }

  isAvoided(now: Milliseconds): boolean {
    return now < this.avoidUntil;
  }

  /** How many requests this daemon may have running here. */
  getLimit(now: Milliseconds): number {
    return this.allowance.getLimit(now);
  }

  /** What may be sent above the limit, over less urgent work: the engine runs it first. */
  getExcess(): number {
    return Math.max(1, Math.ceil(this.replica.slots * this.options.excess));
  }

  /** How many requests of a tier, or of more urgent ones, this daemon has running here. */
  getRunningUpTo(tier: number): number {
    let sum = 0;
    for (let each = 0; each <= tier; each += 1) {
      sum += this.byTier[each] ?? 0;
    }
    return sum;
  }

  /** Notes that a request was sent (1) or ended (-1). */
  note(now: Milliseconds, tier: number, change: 1 | -1): void {
    this.byTier[tier] = (this.byTier[tier] ?? 0) + change;
    this.load.note(now, change);
  }

  /** The load by slots as it would be with one more request. */
  getPressure(now: Milliseconds): number {
    const { stampedeDamping, maxReportAge } = this.options;
    const others = (this.share.contenders - 1) * stampedeDamping;
    return (this.load.get(now, others, maxReportAge) + 1) / Math.max(1, this.replica.slots);
  }

  /** Takes a load report. */
  report(report: LoadReport, now: Milliseconds, random: Random): void {
    if (this.load.apply(report, now)) {
      const load = this.load.get(now, 0, this.options.maxReportAge);
      const { measuredAt } = report;
      this.allowance.report({ load, own: this.load.own, measuredAt }, now, random);
    }
  }

  /**
   * Notes that an attempt went well; the replica is no longer avoided.
   *
   * @returns whether it was
   */
  succeed(): boolean {
    const wasAvoided = this.avoidUntil > 0;
    this.failures = 0;
    this.avoidUntil = 0;
    return wasAvoided;
  }

  /**
   * Notes that an attempt failed.
   *
   * @param isCertain - it could not be reached at all, so it is avoided at once
   * @returns until when it is avoided, or undefined when it is not
   */
  fail(now: Milliseconds, isCertain: boolean): Milliseconds | undefined {
    const { failuresToAvoid, avoidance, maxAvoidance } = this.options;
    this.failures += 1;
    const excess = this.failures - (isCertain ? 1 : failuresToAvoid);
    if (excess < 0) {
      return undefined;
    }
    return this.avoid(now + Math.min(maxAvoidance, avoidance * 2 ** excess));
  }

  /** Sends nothing here until then, if there is anywhere else to send it. */
  avoid(until: Milliseconds): Milliseconds {
    this.avoidUntil = Math.max(this.avoidUntil, until);
    return this.avoidUntil;
  }

  /** Convicts it of being slow; what it is judged by next is its probes alone. */
  convict(now: Milliseconds): void {
    this.convicted = true;
    this.probeAt = now + this.options.probeInterval;
    this.clearSamples();
  }

  /** A probe was sent. */
  postponeProbe(now: Milliseconds): void {
    this.probeAt = now + this.options.probeInterval;
  }

  acquit(): void {
    this.convicted = false;
    this.clearSamples();
  }

  private clearSamples(): void {
    this.firstTokens.clear();
    this.tokenGaps.clear();
  }
}
