import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { ChosenReplica } from '../chooseReplica.js';
import { getMemoryTokens } from '../getMemoryTokens.js';
import { AttemptEnd } from '../messages.js';
import type {
  PlacementCriteria,
  SharedAttempt,
  SharedAttemptResult,
  PlacementUpdate,
} from '../messages.js';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';
import type { RunningAttempt } from '../RequestRecord.js';

/** News of attempts; breaks are counted with their replica. */
export type AttemptNews = Extract<
  PlacementUpdate,
  { kind: 'placed' | 'first-byte-received' | 'ended' | 'attempt-list' }
>;

/**
 * An attempt for which this daemon chose so lately may be missing in the other's list of all: that
 * was written before it heard where the attempt goes.
 */
const LIST_LAG: Milliseconds = 500;

/**
 * A daemon tells the one that chose for its attempts of them every second, as long as there are any:
 * where nothing came for so long, it was killed.
 */
const LIST_EXPIRY: Milliseconds = 5_000;

/** Dependencies of {@link PeerAttempts}. */
export interface PeerAttemptsParts {
  clock: Clock;
  findReplica: (id: string) => ReplicaState | undefined;
  /** Called when another daemon's attempt is sent to a replica. */
  onSent: (replica: string) => void;
}

/** An attempt as other daemons are told of it. */
export function getShared(attempt: RunningAttempt): SharedAttempt {
  const { key, state, missingTokens, memoryTokens, pauseTarget, isAnswering, prompt } = attempt;
  const replica = state.replica.id;
  return { key, replica, missingTokens, memoryTokens, pauseTarget, isAnswering, prompt };
}

/**
 * What other daemons have under way at the replicas. A daemon sees one request in so many as there
 * are daemons; by its own alone an engine that others have just sent ten prompts looks idle, all
 * daemons choose it at once, and first tokens that were expected in 50 ms took 1,000.
 */
export class PeerAttempts {
  private readonly byPeer = new Map<string, Map<string, RunningAttempt>>();

  /** When a daemon last told of all its attempts. */
  private readonly listedAt = new Map<string, Milliseconds>();

  private sweptAt: Milliseconds;

  constructor(private readonly parts: PeerAttemptsParts) {
    this.sweptAt = parts.clock.now();
  }

  take(peer: string, news: AttemptNews): void {
    const attempts = this.getAttempts(peer);
    switch (news.kind) {
      case 'placed':
        this.add(attempts, news.attempt);
        break;
      case 'first-byte-received':
        this.noteAnswering(attempts.get(news.key));
        break;
      case 'ended':
        this.learn(attempts.get(news.key), news.result);
        PeerAttempts.remove(attempts, news.key);
        break;
      case 'attempt-list':
        this.listedAt.set(peer, this.parts.clock.now());
        this.replace(attempts, news.attempts);
        this.sweep();
        break;
      default:
        news satisfies never;
    }
  }

  /** A daemon that is gone has nothing under way. */
  forget(peer: string): void {
    const attempts = this.getAttempts(peer);
    [...attempts.keys()].forEach((key) => PeerAttempts.remove(attempts, key));
    this.byPeer.delete(peer);
    this.listedAt.delete(peer);
  }

  has(peer: string, key: string): boolean {
    return this.byPeer.get(peer)?.has(key) === true;
  }

  /** An attempt of another daemon for which this one chose the replica. */
  place(
    peer: string,
    key: string,
    wish: PlacementCriteria,
    { state, choice }: ChosenReplica,
  ): void {
    const { prompt, pauseTarget } = wish;
    this.begin(this.getAttempts(peer), {
      number: 0,
      key,
      isOwn: false,
      isPlacedForPeer: true,
      state,
      sentAt: this.parts.clock.now(),
      missingTokens: choice.missingTokens,
      tokensAhead: choice.tokensAhead,
      isInformative: choice.isTelling,
      copyTime: choice.copyTime,
      memoryTokens: getMemoryTokens(prompt),
      pauseTarget,
      prompt,
      isAnswering: false,
      hasMissedPauseTarget: false,
      placer: undefined,
    });
  }

  private getAttempts(peer: string): Map<string, RunningAttempt> {
    const attempts = this.byPeer.get(peer) ?? new Map<string, RunningAttempt>();
    this.byPeer.set(peer, attempts);
    return attempts;
  }

  private add(attempts: Map<string, RunningAttempt>, shared: SharedAttempt): void {
    const state = this.parts.findReplica(shared.replica);
    if (state === undefined || attempts.has(shared.key)) {
      return;
    }
    const { key, missingTokens, memoryTokens, pauseTarget, isAnswering, prompt } = shared;
    this.begin(attempts, {
      number: 0,
      key,
      isOwn: false,
      isPlacedForPeer: false,
      state,
      sentAt: this.parts.clock.now(),
      missingTokens,
      tokensAhead: missingTokens,
      isInformative: false,
      copyTime: 0,
      memoryTokens,
      pauseTarget,
      prompt,
      isAnswering,
      hasMissedPauseTarget: false,
      placer: undefined,
    });
  }

  private begin(attempts: Map<string, RunningAttempt>, attempt: RunningAttempt): void {
    const { key, state, prompt } = attempt;
    const now = this.parts.clock.now();
    attempts.set(key, attempt);
    state.recordSent(attempt, now);
    this.parts.onSent(state.replica.id);
    if (prompt !== undefined) {
      state.cache.addExpected(prompt, now);
    }
  }

  /** What the end of an attempt says of its replica. */
  private learn(
    attempt: RunningAttempt | undefined,
    result: SharedAttemptResult | undefined,
  ): void {
    if (attempt === undefined || result === undefined) {
      return;
    }
    const { state } = attempt;
    switch (result.end) {
      case AttemptEnd.Completed:
        state.recordSuccess(result.after);
        break;
      case AttemptEnd.Failed:
        state.recordFailure();
        break;
      case AttemptEnd.Refused:
        state.recordRefusal(this.parts.clock.now());
        break;
      case AttemptEnd.NotSent:
      case AttemptEnd.Misdirected:
      case AttemptEnd.Broken:
      case AttemptEnd.Cancelled:
        // Breaks are told to all by themselves.
        break;
      default:
        result.end satisfies never;
    }
  }

  private noteAnswering(attempt: RunningAttempt | undefined): void {
    if (attempt === undefined || attempt.isAnswering) {
      return;
    }
    const now = this.parts.clock.now();
    Object.assign(attempt, { isAnswering: true });
    attempt.state.recordFirstByte(attempt, now);
  }

  /** News can be lost on the way: the whole list puts right what that left behind. */
  private replace(attempts: Map<string, RunningAttempt>, shared: SharedAttempt[]): void {
    const current = new Set(shared.map(({ key }) => key));
    const old = this.parts.clock.now() - LIST_LAG;
    [...attempts]
      .filter(([key]) => !current.has(key))
      .filter(([, { isPlacedForPeer: isForOther, sentAt }]) => !isForOther || sentAt <= old)
      .forEach(([key]) => PeerAttempts.remove(attempts, key));
    shared.forEach((attempt) => {
      this.add(attempts, attempt);
      if (attempt.isAnswering) {
        this.noteAnswering(attempts.get(attempt.key));
      }
    });
  }

  /**
   * What goes wrong without it: a large fleet takes half a minute to notice that daemons are gone, and
   * engines seem full of their attempts all the while.
   */
  private sweep(): void {
    const expired = this.parts.clock.now() - LIST_EXPIRY;
    if (this.sweptAt > expired) {
      return;
    }
    this.sweptAt = this.parts.clock.now();
    this.byPeer.forEach((attempts, peer) => {
      if ((this.listedAt.get(peer) ?? Number.NEGATIVE_INFINITY) < expired) {
        [...attempts]
          .filter(([, { isPlacedForPeer: isForOther, sentAt }]) => isForOther && sentAt < expired)
          .forEach(([key]) => PeerAttempts.remove(attempts, key));
      }
    });
  }

  private static remove(attempts: Map<string, RunningAttempt>, key: string): void {
    const attempt = attempts.get(key);
    if (attempt !== undefined) {
      attempt.state.running.delete(attempt);
      attempts.delete(key);
    }
  }
}
