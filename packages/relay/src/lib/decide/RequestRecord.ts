import type { Milliseconds, Timer } from '@apricotrill/utils';
import { AttemptEnd } from './messages.js';
import type { PlacementRequest, Prompt } from './messages.js';
import type { ReplicaState } from './ReplicaState/ReplicaState.js';

/** An attempt that is under way, of this daemon or of another. */
export interface RunningAttempt {
  /** The daemon's own number of it; 0 for those of others. */
  number: number;
  /** Unique among the attempts of its daemon. */
  key: string;
  isOwn: boolean;
  /** Whether this daemon chose the replica for another one. */
  isPlacedForPeer: boolean;
  state: ReplicaState;
  sentAt: Milliseconds;
  /** Prompt tokens that its engine had to read. */
  missingTokens: number;
  /** The same with what it had to read before, as known when this one was sent. */
  tokensAhead: number;
  /** Whether that is known: from the engine, or since it is the home of the prompt's session. */
  isInformative: boolean;
  /** For what it copied from another engine. */
  copyTime: Milliseconds;
  /** What it will take of its engine's memory, the prompt and half of the longest answer. */
  memoryTokens: number;
  /** Absent where the answer is no stream. */
  pauseTarget: Milliseconds | undefined;
  prompt: Prompt | undefined;
  /** The first byte of the answer came. */
  isAnswering: boolean;
  /** Its engine read for so long without a break that a pause of its stream is too long already. */
  hasMissedPauseTarget: boolean;
  /** The daemon that is told of it; undefined where all are, the own name where none need be. */
  placer: string | undefined;
}

/** What the placement core keeps of a request until it is over. */
export class RequestRecord {
  /** Attempts that were started, whatever became of them. */
  startedAttempts = 0;

  /** Attempts that reached a replica: these count against the route's limit. */
  sentAttempts = 0;

  /** Attempts of which no byte left this daemon. */
  unsentAttempts = 0;

  /** Some attempt may have run. */
  mayHaveRun = false;

  /** Replicas that were tried. */
  readonly triedReplicas = new Set<string>();

  /** Placers that were asked for the attempt that comes next. */
  readonly queriedPlacers = new Set<string>();

  running: RunningAttempt | undefined;

  private deadlineTimer: Timer | undefined;

  private silenceTimer: Timer | undefined;

  constructor(readonly request: PlacementRequest) {}

  startAttempt(attempt: RunningAttempt): void {
    this.startedAttempts = attempt.number;
    this.triedReplicas.add(attempt.state.replica.id);
    this.running = attempt;
    this.queriedPlacers.clear();
  }

  /** Counts an attempt by what its end proves. */
  countAttempt(end: AttemptEnd): void {
    if (end === AttemptEnd.NotSent || end === AttemptEnd.Misdirected) {
      this.unsentAttempts += 1;
      return;
    }
    this.sentAttempts += 1;
    this.mayHaveRun ||= end !== AttemptEnd.Refused;
  }

  /** @returns the attempt that was under way, which is so no longer */
  removeRunning(): RunningAttempt | undefined {
    const { running } = this;
    this.running = undefined;
    this.cancelSilenceTimer();
    return running;
  }

  setDeadlineTimer(timer: Timer): void {
    this.deadlineTimer = timer;
  }

  /** Replaces the timer that looks for silence. */
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
