import type { Milliseconds } from '@apricotrill/utils';
import type { EngineProfile, RelayReplica } from '../../config/RelayConfiguration.js';
import { BreakWindow } from '../ReplicaCooldown/ReplicaCooldown.js';
import { CacheView } from '../CacheView/CacheView.js';
import { EngineReading } from '../PrefillEstimator/PrefillEstimator.js';
import type { EngineLessons } from '../PrefillEstimator/EngineStatistics.js';
import type { LoadReport } from '../messages.js';
import { getHarm, getPauseSlack } from '../pauses.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { RunningAttempt } from '../RequestRecord.js';

/** Weight of the newest measurement in a moving average. */
const NEWEST = 0.15;

/** A plain request's time before any was measured. */
const FIRST_LATENCY: Milliseconds = 80;

/** A report and what was known to be under way when it came. */
interface StampedReport {
  report: LoadReport;
  at: Milliseconds;
  knownThen: number;
}

/** What the placement core knows of one replica. */
export class ReplicaState {
  replica: RelayReplica;

  readonly cache = new CacheView();

  /** Attempts of all daemons that broke there. */
  readonly breaks = new BreakWindow();

  readonly running = new Set<RunningAttempt>();

  /** Why nothing new is sent there while others will do; undefined when it is trusted. */
  suspicion: string | undefined;

  /** Word from elsewhere than the list that it is about to leave. */
  isLeaving = false;

  fullUntil: Milliseconds = 0;

  /** It is asked whether it lives. */
  private isQuestioned = false;

  private failuresInRow = 0;

  /** Part of its answers that were failures. */
  private failureRate = 0;

  private latency = FIRST_LATENCY;

  private heardAt: Milliseconds = 0;

  private stamped: StampedReport | undefined;

  private readonly options: PlacementOptions;

  /** Tokens of long prompts that were sent there, each counting less as it ages. */
  private pressure = 0;

  private pressureAt: Milliseconds = 0;

  private readonly reading: EngineReading;

  constructor(replica: RelayReplica, options: PlacementOptions, learned: EngineLessons) {
    this.replica = replica;
    this.options = options;
    this.reading = new EngineReading(learned);
  }

  /** Whether it is not about to leave. */
  get isInService(): boolean {
    return !this.replica.isDraining && !this.isLeaving;
  }

  get lastReport(): StampedReport | undefined {
    return this.stamped;
  }

  get expectedFailures(): number {
    return this.failureRate;
  }

  get expectedLatency(): Milliseconds {
    return this.latency;
  }

  /** Prompt tokens that it reads in a millisecond. */
  get readRate(): number {
    return this.reading.readRate;
  }

  /** The same of all engines of its service. */
  get serviceRate(): number {
    return this.reading.serviceRate;
  }

  /** What a request waits there for its first token, with so many tokens to be read before. */
  getWait(tokens: number): Milliseconds {
    return this.reading.getWait(tokens);
  }

  /** The first byte of an attempt's answer came, at this daemon or another. */
  recordFirstByte(attempt: RunningAttempt, now: Milliseconds): void {
    this.heardAt = now;
    if (attempt.prompt !== undefined || attempt.missingTokens > 0) {
      this.reading.noteRead(attempt, now);
    }
    if (attempt.prompt !== undefined) {
      this.cache.noteRead(attempt.prompt, now);
    }
  }

  recordLoadReport(report: LoadReport, now: Milliseconds): void {
    this.stamped = { report, at: now, knownThen: this.running.size };
    this.heardAt = now;
  }

  /** An attempt of this daemon or another was sent there. */
  recordSent(attempt: RunningAttempt, now: Milliseconds): void {
    this.running.add(attempt);
    this.noteHarm(now);
    const isLong = attempt.missingTokens >= this.options.chunkTokens / 2;
    this.pressure = this.getPressure(now) + (isLong ? attempt.missingTokens : 0);
    this.pressureAt = now;
  }

  /** How long it may read without a break for a stream's pauses; undefined where it always may. */
  getPauseSlack(pauseTarget: Milliseconds | undefined): Milliseconds | undefined {
    const { profile, serviceRate: readRate } = this.reading;
    return getPauseSlack(pauseTarget, { profile, readRate, options: this.options });
  }

  /** How many streams' pauses would become too long if it had so many tokens more to read. */
  getHarm(tokens: number, now: Milliseconds): number {
    const reading = (this.getBacklog(now) + tokens) / this.readRate;
    let harm = 0;
    this.running.forEach(({ hasMissedPauseTarget: isHarmed, pauseTarget }) => {
      const slack = isHarmed ? undefined : this.getPauseSlack(pauseTarget);
      harm += slack === undefined ? 0 : getHarm(reading, slack);
    });
    return harm;
  }

  /** The part of its time that the engine spent on reading prompts lately, 0 to 1 and above. */
  getReadingShare(now: Milliseconds): number {
    const { pressureHalfLife } = this.options;
    return (this.getPressure(now) * Math.LN2) / (pressureHalfLife * this.readRate);
  }

  /** Requests of this daemon that are under way there. */
  get ownRunning(): number {
    let own = 0;
    this.running.forEach(({ isOwn }) => {
      own += isOwn ? 1 : 0;
    });
    return own;
  }

  noteByte(now: Milliseconds): void {
    this.heardAt = now;
  }

  recordSuccess(latency: Milliseconds): void {
    this.failuresInRow = 0;
    this.failureRate += NEWEST * (0 - this.failureRate);
    this.latency += NEWEST * (latency - this.latency);
  }

  /** @returns whether it isn't being asked already whether it lives */
  question(): boolean {
    const isNew = !this.isQuestioned;
    this.isQuestioned = true;
    return isNew;
  }

  endQuestion(isAlive: boolean, now: Milliseconds): void {
    this.isQuestioned = false;
    if (isAlive) {
      this.heardAt = now;
    }
  }

  /** @returns whether it was trusted until now */
  suspect(reason: string): boolean {
    const isNew = this.suspicion === undefined;
    this.suspicion ??= reason;
    return isNew;
  }

  /** It has proved that it works. */
  trust(now: Milliseconds): void {
    this.suspicion = undefined;
    this.failuresInRow = 0;
    this.heardAt = now;
  }

  /** It refused a request: for a moment others go first. */
  recordRefusal(now: Milliseconds): void {
    this.fullUntil = now + this.options.fullSpan;
  }

  /** It answered with a failure of its own: that it answers at all clears it of being down. */
  recordFailure(): void {
    this.failuresInRow = 0;
    this.failureRate += NEWEST * (1 - this.failureRate);
  }

  /** @returns whether it has broken so many attempts in a row that it should not be trusted */
  recordBrokenAttempt(): boolean {
    this.failuresInRow += 1;
    this.failureRate += NEWEST * (1 - this.failureRate);
    return this.failuresInRow >= this.options.suspectAfter;
  }

  /** Whether requests are under way and nothing at all came for too long. */
  isDark(now: Milliseconds): boolean {
    const limit = now - this.options.darkAfter;
    const own = [...this.running].filter(({ isOwn }) => isOwn);
    const oldest = Math.min(...own.map(({ sentAt }) => sentAt));
    return oldest < limit && this.heardAt < limit;
  }

  /** Requests under way there that no daemon told of, by a report that counts less as it ages. */
  getOthers(now: Milliseconds): number {
    return this.getAged(
      now,
      ({ report, knownThen }) => report.running + report.waiting - knownThen,
    );
  }

  /** Requests of all daemons that wait there for a slot, by the same report. */
  getWaiting(now: Milliseconds): number {
    return this.getAged(now, ({ report }) => report.waiting);
  }

  /** Prompt tokens that were sent there and that the engine has still to read. */
  getBacklog(now: Milliseconds): number {
    const unread = [...this.running].filter(({ isAnswering }) => !isAnswering);
    return this.reading.getBacklog(unread, now);
  }

  /** Tokens in the engine's memory for requests of this daemon, and as many for each other one. */
  getMemory(now: Milliseconds): number {
    let own = 0;
    this.running.forEach(({ memoryTokens }) => {
      own += memoryTokens;
    });
    const mean = this.running.size === 0 ? 0 : own / this.running.size;
    return own + mean * this.getOthers(now);
  }

  /** Whether this daemon may send it one more. */
  hasRoom(connections: number, profile: EngineProfile | undefined): boolean {
    return this.ownRunning < Math.min(connections, this.getSlots(profile));
  }

  /** Whether all daemons together may send it one more, as far as this daemon is told. */
  hasRoomForAll(profile: EngineProfile | undefined): boolean {
    return this.running.size < this.getSlots(profile) * (1 + this.options.placerQueue);
  }

  private getSlots(profile: EngineProfile | undefined): number {
    return Math.max(1, profile?.slots ?? this.replica.slots);
  }

  /** Streams whose engine has to read for too long are late: more reading does them no harm. */
  private noteHarm(now: Milliseconds): void {
    const reading = this.getBacklog(now) / this.readRate;
    this.running.forEach((attempt) => {
      const slack = attempt.isAnswering ? this.getPauseSlack(attempt.pauseTarget) : undefined;
      if (slack !== undefined && reading >= slack) {
        Object.assign(attempt, { hasMissedPauseTarget: true });
      }
    });
  }

  private getPressure(now: Milliseconds): number {
    return this.pressure * 0.5 ** ((now - this.pressureAt) / this.options.pressureHalfLife);
  }

  private getAged(now: Milliseconds, get: (stamped: StampedReport) => number): number {
    if (this.stamped === undefined) {
      return 0;
    }
    const age = now - this.stamped.at;
    return Math.max(0, get(this.stamped)) * 0.5 ** (age / this.options.reportHalfLife);
  }
}
