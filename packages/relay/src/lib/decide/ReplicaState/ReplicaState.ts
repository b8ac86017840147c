import type { Milliseconds } from '@apricotrill/utils';
import type { EngineProfile, RelayReplica } from '../../config/RelayConfiguration.js';
import { AttemptFailures } from '../AttemptFailures/AttemptFailures.js';
import { ReplicaCooldown } from '../ReplicaCooldown/ReplicaCooldown.js';
import { CacheView } from '../CacheView/CacheView.js';
import { PrefillEstimator } from '../PrefillEstimator/PrefillEstimator.js';
import type { EngineStatistics } from '../PrefillEstimator/EngineStatistics.js';
import type { LoadReport } from '../messages.js';
import { getPauseSlack } from '../pauses.js';
import type { EngineSpeed } from '../pauses.js';
import type { PlacementOptions } from '../placementOptions.js';
import { MeasuredLatency } from '../MeasuredLatency/MeasuredLatency.js';
import { RecentPrefill } from '../RecentPrefill/RecentPrefill.js';
import { ReplicaSilence } from '../ReplicaSilence/ReplicaSilence.js';
import { ReplicaTrial } from '../ReplicaTrial/ReplicaTrial.js';
import { ReportedLoad } from '../ReportedLoad/ReportedLoad.js';
import type { ReceivedReport } from '../ReportedLoad/ReportedLoad.js';
import type { RunningAttempt } from '../RequestRecord.js';
import { StreamPauses } from '../StreamPauses/StreamPauses.js';
import { Slowdown } from '../Slowdown/Slowdown.js';

/** The state of one replica as known to the placement core. */
export class ReplicaState {
  replica: RelayReplica;

  readonly cache = new CacheView();

  /** Cooldown after broken attempts of all daemons. */
  readonly cooldown = new ReplicaCooldown();

  readonly trial = new ReplicaTrial();

  readonly running = new Set<RunningAttempt>();

  /**
   * Why the replica is suspect, so that it gets no new requests while other replicas are available;
   * undefined if it is not.
   */
  suspectReason: string | undefined;

  /** Whether it has announced by other means than the replica list that it is about to leave. */
  isLeaving = false;

  /** When the newest of the attempts was sent of which a first byte has been received. */
  newestAnsweredSentAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** The replica counts as full until then, since it refused a request. */
  fullUntil: Milliseconds = 0;

  private readonly failures = new AttemptFailures();

  private readonly pauses = new StreamPauses(this.running);

  private readonly latency = new MeasuredLatency(this.trial);

  private readonly silence = new ReplicaSilence();

  private readonly reportedLoad: ReportedLoad;

  private readonly options: PlacementOptions;

  private readonly recentPrefill: RecentPrefill;

  private readonly slowdown: Slowdown;

  private readonly prefill: PrefillEstimator;

  constructor(replica: RelayReplica, options: PlacementOptions, statistics: EngineStatistics) {
    this.replica = replica;
    this.options = options;
    this.reportedLoad = new ReportedLoad(options.reportHalfLife);
    this.recentPrefill = new RecentPrefill(options.pressureHalfLife);
    this.slowdown = new Slowdown(statistics.slowdownPersistence);
    this.prefill = new PrefillEstimator(statistics, this.trial, this.slowdown, this.running);
  }

  /** Whether it is not about to leave. */
  get isInService(): boolean {
    return !this.replica.isDraining && !this.isLeaving;
  }

  get lastReport(): ReceivedReport | undefined {
    return this.reportedLoad.last;
  }

  get expectedFailureRate(): number {
    return this.failures.failureRate;
  }

  /** Moving average of the latency of its requests at a slowdown of 1. */
  get measuredLatency(): Milliseconds {
    return this.latency.value;
  }

  /** Whether the latency of any of its requests was measured. */
  get hasMeasuredLatency(): boolean {
    return this.latency.isMeasured;
  }

  /**
   * Expected latency of a request at the current slowdown.
   *
   * @param least - the lowest latency that was measured at a replica of its service
   */
  getExpectedLatency(least: Milliseconds, now: Milliseconds): Milliseconds {
    return (this.trial.isDue ? least : this.latency.value) * this.getSlowdown(now);
  }

  /** Whether it states how long work takes on its machine. */
  get statesSlowdown(): boolean {
    return this.slowdown.isStated;
  }

  /** How long work is expected to take on its machine, relative to the usual time; 1 if it states none. */
  getSlowdown(now: Milliseconds): number {
    return this.prefill.getSlowdown(now);
  }

  /** Prompt tokens that the engine prefills per millisecond, at its current slowdown. */
  get prefillRate(): number {
    return this.prefill.prefillRate;
  }

  /** Expected wait for a first token if this many tokens have to be prefilled first. */
  getExpectedWait(tokens: number): Milliseconds {
    return this.prefill.getExpectedWait(tokens);
  }

  /** What the current slowdown adds to the setup time of a request; 0 if the replica states none. */
  getSetupDelay(): Milliseconds {
    return this.prefill.setupDelay;
  }

  /** Records the first byte of the response to an attempt of this daemon or a peer. */
  recordFirstByte(attempt: RunningAttempt, now: Milliseconds): void {
    this.silence.recordReceived(now);
    Object.assign(attempt, { isResponding: true });
    this.newestAnsweredSentAt = Math.max(this.newestAnsweredSentAt, attempt.sentAt);
    if (attempt.prompt !== undefined || attempt.missingTokens > 0) {
      this.prefill.recordPrefill(attempt, now);
    }
    if (attempt.prompt !== undefined) {
      this.cache.recordPrefill(attempt.prompt, now);
    }
  }

  recordLoadReport(report: LoadReport, now: Milliseconds): void {
    if (report.slowdown !== undefined) {
      this.slowdown.record(report.slowdown, now);
    }
    this.reportedLoad.record(report, now, this.running.size);
    this.silence.recordReceived(now);
  }

  /** Records an attempt that this daemon or a peer sent to the replica. */
  recordSent(attempt: RunningAttempt, now: Milliseconds): void {
    this.running.add(attempt);
    this.pauses.markMissed(this.getBacklog(now) / this.prefillRate, this.engineSpeed);
    const isLong = attempt.missingTokens >= this.options.chunkTokens / 2;
    this.recentPrefill.record(isLong ? attempt.missingTokens : 0, now);
  }

  /**
   * How long the engine may prefill without interruption before a stream misses its pause target;
   * undefined if no prefill makes the stream miss it.
   */
  getPauseSlack(pauseTarget: Milliseconds | undefined): Milliseconds | undefined {
    return getPauseSlack(pauseTarget, this.engineSpeed);
  }

  /**
   * Expected number of streams that would miss their pause target if the engine had to prefill this
   * many additional tokens.
   */
  getHarmedStreams(tokens: number, now: Milliseconds): number {
    const prefillTime = (this.getBacklog(now) + tokens) / this.prefillRate;
    return this.pauses.getHarmed(prefillTime, this.engineSpeed);
  }

  /**
   * The share of its time that the engine recently spent on prefill; above 1 if it is overloaded.
   */
  getPrefillShare(now: Milliseconds): number {
    return this.recentPrefill.getShare(this.prefillRate, now);
  }

  /** Number of this daemon's requests in flight. */
  get ownInFlight(): number {
    let count = 0;
    this.running.forEach(({ isOwn }) => {
      count += isOwn ? 1 : 0;
    });
    return count;
  }

  recordByte(now: Milliseconds): void {
    this.silence.recordReceived(now);
  }

  recordSuccess(latency: Milliseconds, now: Milliseconds): void {
    this.failures.recordSuccess();
    this.latency.record(latency * this.slowdown.getSpeed(now - latency, now));
  }

  /** @returns false if a liveness check is already pending */
  beginLivenessCheck(): boolean {
    return this.silence.beginCheck();
  }

  endLivenessCheck(isAlive: boolean, now: Milliseconds): void {
    this.silence.endCheck(isAlive, now);
  }

  /** @returns false if it was suspect already */
  suspect(reason: string): boolean {
    const isNew = this.suspectReason === undefined;
    this.suspectReason ??= reason;
    return isNew;
  }

  /** Ends the suspicion after a successful health check. */
  clearSuspicion(now: Milliseconds): void {
    this.suspectReason = undefined;
    this.failures.clearBroken();
    this.silence.recordReceived(now);
  }

  /** Makes other replicas preferred for a moment after the replica refused a request. */
  recordRefusal(now: Milliseconds): void {
    this.fullUntil = now + this.options.fullSpan;
  }

  /**
   * Records a response that reports a failure. The response itself shows that the replica is up.
   */
  recordFailure(): void {
    this.failures.recordFailure();
  }

  /** @returns whether enough consecutive attempts broke for the replica to become suspect */
  recordBrokenAttempt(): boolean {
    return this.failures.recordBroken() >= this.options.suspectAfter;
  }

  /** Withdraws failures for which the replica was not responsible. */
  forgiveFailures(failureRate: number): void {
    this.failures.forgive(failureRate);
  }

  /** Whether it has sent nothing for too long although requests of this daemon are in flight. */
  isUnresponsive(now: Milliseconds): boolean {
    return this.isSilentFor(this.options.darkAfter, now);
  }

  /** Whether it may be paused: no request should be moved to it from another silent replica. */
  isSilent(now: Milliseconds): boolean {
    return this.isSilentFor(this.options.silentAfter, now);
  }

  /** Whether it has sent anything in the time after which it may be paused. */
  hasSentRecently(now: Milliseconds): boolean {
    return !this.silence.isSilentSince(now - this.options.silentAfter);
  }

  private isSilentFor(span: Milliseconds, now: Milliseconds): boolean {
    const limit = now - span;
    const ownAttempts = [...this.running].filter(({ isOwn }) => isOwn);
    const oldest = Math.min(...ownAttempts.map(({ sentAt }) => sentAt));
    return oldest < limit && this.silence.isSilentSince(limit);
  }

  /**
   * Requests in flight that no daemon has announced, estimated from the last load report. The
   * report counts less as it ages.
   */
  getUnannouncedInFlight(now: Milliseconds): number {
    return this.reportedLoad.getUnannounced(now);
  }

  /** Requests of all daemons that wait for a slot, estimated from the same report. */
  getWaiting(now: Milliseconds): number {
    return this.reportedLoad.getWaiting(now);
  }

  /** Prompt tokens that the engine still has to prefill. */
  getBacklog(now: Milliseconds): number {
    return this.prefill.getBacklog(now);
  }

  /**
   * KV-cache memory in use, in tokens. Requests that no daemon has announced are assumed to use the
   * mean of the known ones.
   */
  getMemoryTokens(now: Milliseconds): number {
    let known = 0;
    this.running.forEach(({ memoryTokens }) => {
      known += memoryTokens;
    });
    const mean = this.running.size === 0 ? 0 : known / this.running.size;
    return known + mean * this.getUnannouncedInFlight(now);
  }

  /** Whether this daemon may send another request to it. */
  hasRoom(maxConnections: number, profile: EngineProfile | undefined): boolean {
    return this.ownInFlight < Math.min(maxConnections, this.getSlots(profile));
  }

  /** Whether another request fits, given the requests of all daemons that this daemon knows of. */
  hasRoomForAll(profile: EngineProfile | undefined): boolean {
    return this.running.size < this.getSlots(profile) * (1 + this.options.placerQueue);
  }

  /** Whether one of its slots is free, as far as this daemon knows of the requests of all daemons. */
  hasFreeSlot(profile: EngineProfile | undefined, now: Milliseconds): boolean {
    return this.running.size + this.getUnannouncedInFlight(now) < this.getSlots(profile);
  }

  getSlots(profile: EngineProfile | undefined): number {
    return Math.max(1, profile?.slots ?? this.replica.slots);
  }

  /**
   * The speed by which pauses are judged. Where nothing shows that engines differ from one moment to the
   * next, it is that of the mean engine of the service, which changes less often than its own.
   */
  private get engineSpeed(): EngineSpeed {
    const { options, prefill } = this;
    const { profile, servicePrefillRate, currentSlowdown: slowdown } = prefill;
    const prefillRate = this.statesSlowdown ? this.prefillRate : servicePrefillRate;
    return { profile, prefillRate, slowdown, options };
  }
}
