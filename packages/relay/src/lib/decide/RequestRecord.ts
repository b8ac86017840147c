import type { Milliseconds, Timer } from '@apricotrill/utils';
import type { Fallback } from './getNextStep.js';
import { AttemptEnd } from './messages.js';
import type { CancelReason, PlacementRequest, Prompt } from './messages.js';
import { getFingerprints } from './quarantine/getFingerprints/getFingerprints.js';
import type { ReplicaState } from './ReplicaState/ReplicaState.js';

/** Ends of attempts of which no byte reached the intended replica. */
const UNSENT_ENDS: ReadonlySet<AttemptEnd> = new Set([
  AttemptEnd.NotSent,
  AttemptEnd.NoPath,
  AttemptEnd.Withdrawn,
  AttemptEnd.Misdirected,
]);

/** An attempt in flight, of this daemon or a peer. */
export interface RunningAttempt {
  /** Number of the attempt within its request; 0 for attempts of peers. */
  number: number;
  /** Unique among the attempts of its daemon. */
  key: string;
  isOwn: boolean;
  /** Whether this daemon chose the replica for a peer. */
  isPlacedForPeer: boolean;
  state: ReplicaState;
  sentAt: Milliseconds;
  /** Prompt tokens that the engine had to prefill. */
  missingTokens: number;
  /** The missing tokens plus the backlog of the engine when the attempt was sent. */
  tokensAhead: number;
  /**
   * Whether the missing tokens are known: the engine has reported its cache, or it is the home of
   * the prompt's session.
   */
  isInformative: boolean;
  /** Time that copying from another engine takes. */
  copyTime: Milliseconds;
  /** KV-cache memory that it needs: the prompt and half of the maximum output. */
  memoryTokens: number;
  /** Undefined if the response is not a stream. */
  pauseTarget: Milliseconds | undefined;
  prompt: Prompt | undefined;
  /** Whether the first byte of the response has been received. */
  isResponding: boolean;
  /** Whether its stream has already missed the pause target because of the engine's prefill. */
  hasMissedPauseTarget: boolean;
  /**
   * The daemon that is notified of the attempt; undefined if all daemons are, this daemon's own
   * name if none has to be.
   */
  placer: string | undefined;
  /** Other daemons that are notified as well, since they may have to decide for its replica. */
  observers: readonly string[];
}

/** A group of replicas whose placer is asked for a replica. */
export interface AskedGroup {
  name: string;
  /** Whether its placer would choose this group by the request alone. */
  isHome: boolean;
}

/** The state of a request in the placement core until it is finished. */
export class RequestRecord {
  /** Number of attempts started, however they ended. */
  startedAttempts = 0;

  /** Number of attempts that reached a replica. They count against the route's `maxAttempts`. */
  sentAttempts = 0;

  /** Number of attempts that never reached the replica. */
  unsentAttempts = 0;

  /** Whether any attempt may have run. */
  mayHaveRun = false;

  /** IDs of the replicas that were tried. */
  readonly triedReplicas = new Set<string>();

  /** Placers that were queried for the next attempt. */
  readonly queriedPlacers = new Set<string>();

  /** Groups that were asked for the next attempt; the last one is asked now. */
  readonly askedGroups: AskedGroup[] = [];

  /** Whether it was let through to find out whether replicas can serve a quarantined part. */
  isTrial = false;

  running: RunningAttempt | undefined;

  /** Why the running attempt ends as soon as another one can begin; undefined if it does not. */
  replacement: CancelReason | undefined;

  /** The software version that began its stream; undefined until a version has. */
  softwareVersion: string | undefined;

  private currentFallback: Fallback | undefined;

  private deadlineTimer: Timer | undefined;

  private silenceTimer: Timer | undefined;

  /** Fingerprints of the content that may be responsible if a replica crashes with the request. */
  readonly fingerprints: readonly string[];

  constructor(readonly request: PlacementRequest) {
    this.fingerprints = getFingerprints(request);
    this.softwareVersion = request.softwareVersion;
  }

  startAttempt(attempt: RunningAttempt): void {
    this.startedAttempts = attempt.number;
    this.triedReplicas.add(attempt.state.replica.id);
    this.running = attempt;
    this.resetQueries();
  }

  /** Lets all groups and placers be asked again. */
  resetQueries(): void {
    this.queriedPlacers.clear();
    this.askedGroups.length = 0;
  }

  /** Counts an attempt by what its end proves. */
  countAttempt(end: AttemptEnd): void {
    if (UNSENT_ENDS.has(end)) {
      this.unsentAttempts += 1;
      return;
    }
    this.sentAttempts += 1;
    this.mayHaveRun ||= end !== AttemptEnd.Refused;
  }

  /** What becomes of it if no further attempt is possible; undefined before the first attempt. */
  get fallback(): Fallback | undefined {
    return this.currentFallback;
  }

  setFallback(fallback: Fallback | undefined): void {
    this.currentFallback = fallback;
  }

  /** @returns the attempt that was in flight */
  removeRunning(): RunningAttempt | undefined {
    const { running } = this;
    this.running = undefined;
    this.cancelSilenceTimer();
    return running;
  }

  setDeadlineTimer(timer: Timer): void {
    this.deadlineTimer = timer;
  }

  /** Replaces the timer that checks for silence. */
  setSilenceTimer(timer: Timer): void {
    this.silenceTimer?.cancel();
    this.silenceTimer = timer;
  }

  cancelSilenceTimer(): void {
    this.silenceTimer?.cancel();
  }

  cancelTimers(): void {
    this.cancelSilenceTimer();
    this.deadlineTimer?.cancel();
  }
}
