import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { ChosenReplica } from '../chooseReplica.js';
import { getMemoryTokens } from '../getMemoryTokens.js';
import { AttemptEnd } from '../messages.js';
import type {
  LoadReport,
  PlacementCriteria,
  SharedAttempt,
  SharedAttemptResult,
  PlacementUpdate,
} from '../messages.js';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';
import type { RunningAttempt } from '../RequestRecord.js';

/** Updates about attempts, except broken ones, which the replica registry counts. */
export type AttemptUpdate = Extract<
  PlacementUpdate,
  { kind: 'placed' | 'first-byte-received' | 'ended' | 'attempt-list' }
>;

/**
 * An attempt placed this recently may be missing from the peer's attempt list, which may have been
 * written before the peer received the placement.
 */
const LIST_GRACE_PERIOD: Milliseconds = 500;

/**
 * A daemon with attempts in flight sends its attempt list to their placers every second. If none has
 * arrived for this long, the daemon has been killed.
 */
const LIST_TIMEOUT: Milliseconds = 5_000;

/**
 * The same where the placer decides which requests begin, and attempts of a killed daemon would keep others
 * out. An attempt that is removed too early is added again with the next list.
 */
const CONTROLLED_LIST_TIMEOUT: Milliseconds = 2_500;

/** Minimum interval between two searches for attempts that no list confirms. */
const EXPIRY_CHECK_INTERVAL: Milliseconds = 500;

/** Dependencies of {@link PeerAttempts}. */
export interface PeerAttemptsParts {
  clock: Clock;
  findReplica: (id: string) => ReplicaState | undefined;
  /** Called when another daemon's attempt is sent to a replica. */
  onSent: (state: ReplicaState) => void;
  /** Called when a replica responds to an attempt that is counted as in flight. */
  onAccepted: (state: ReplicaState) => void;
  /** Called with the load that a replica states in its response to an attempt, before it is applied. */
  onLoad: (state: ReplicaState, load: LoadReport) => void;
  /** Called when an attempt has ended and is no longer counted. */
  onEnded: (attempt: RunningAttempt, end: AttemptEnd | undefined) => void;
  /** Called when a replica may have more room, or more is known of its load. */
  onChanged: (state: ReplicaState) => void;
  /** Whether the placer of a replica decides which requests begin there. */
  isControlled: (state: ReplicaState) => boolean;
}

/** Creates the representation of an attempt that is sent to other daemons. */
export function createSharedAttempt(attempt: RunningAttempt): SharedAttempt {
  const { key, state, missingTokens, memoryTokens, pauseTarget, isResponding, prompt } = attempt;
  const replica = state.replica.id;
  return { key, replica, missingTokens, memoryTokens, pauseTarget, isResponding, prompt };
}

/**
 * Tracks the attempts that other daemons have in flight.
 *
 * With N daemons, each sees one request in N. If daemons counted only their own attempts, an engine
 * that just received ten prompts from others would look idle and be chosen by all daemons at the
 * same time: first tokens expected within 50 ms took 1,000 ms.
 */
export class PeerAttempts {
  private readonly byPeer = new Map<string, Map<string, RunningAttempt>>();

  /** When each peer last sent its attempt list. */
  private readonly lastListAt = new Map<string, Milliseconds>();

  private lastExpiryCheckAt: Milliseconds;

  private lastControlledCheckAt: Milliseconds;

  constructor(private readonly parts: PeerAttemptsParts) {
    this.lastExpiryCheckAt = parts.clock.now();
    this.lastControlledCheckAt = parts.clock.now();
  }

  handleUpdate(peer: string, update: AttemptUpdate): void {
    const attempts = this.getAttempts(peer);
    switch (update.kind) {
      case 'placed':
        this.add(attempts, update.attempt);
        break;
      case 'first-byte-received':
        this.recordLoad(attempts.get(update.key), update.load);
        this.recordFirstByte(attempts.get(update.key));
        break;
      case 'ended':
        this.recordResult(attempts.get(update.key), update.result);
        this.remove(attempts, update.key, update.result?.end);
        break;
      case 'attempt-list':
        this.lastListAt.set(peer, this.parts.clock.now());
        this.reconcile(attempts, update.attempts);
        this.removeExpired();
        break;
      default:
        update satisfies never;
    }
  }

  /** Removes the attempts of a peer that is gone. */
  removePeer(peer: string): void {
    const attempts = this.getAttempts(peer);
    [...attempts.keys()].forEach((key) => this.remove(attempts, key));
    this.byPeer.delete(peer);
    this.lastListAt.delete(peer);
  }

  countInFlight(peer: string, service: string): number {
    const attempts = [...(this.byPeer.get(peer)?.values() ?? [])];
    return attempts.filter(({ state }) => state.replica.service === service).length;
  }

  has(peer: string, key: string): boolean {
    return this.byPeer.get(peer)?.has(key) === true;
  }

  /** Adds an attempt of a peer for which this daemon chose the replica. */
  addPlaced(
    peer: string,
    key: string,
    criteria: PlacementCriteria,
    { state, choice }: ChosenReplica,
  ): void {
    const { prompt, pauseTarget } = criteria;
    this.start(this.getAttempts(peer), {
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
      isResponding: false,
      hasMissedPauseTarget: false,
      placer: undefined,
      observers: [],
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
    const { key, missingTokens, memoryTokens, pauseTarget, isResponding, prompt } = shared;
    this.start(attempts, {
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
      isResponding,
      hasMissedPauseTarget: false,
      placer: undefined,
      observers: [],
    });
  }

  private start(attempts: Map<string, RunningAttempt>, attempt: RunningAttempt): void {
    const { key, state, prompt } = attempt;
    const now = this.parts.clock.now();
    attempts.set(key, attempt);
    state.recordSent(attempt, now);
    this.parts.onSent(state);
    if (prompt !== undefined) {
      state.cache.addExpected(prompt, now);
    }
  }

  /** Updates the state of the replica with the result of an attempt. */
  private recordResult(
    attempt: RunningAttempt | undefined,
    result: SharedAttemptResult | undefined,
  ): void {
    if (attempt === undefined || result === undefined) {
      return;
    }
    const { state } = attempt;
    switch (result.end) {
      case AttemptEnd.Completed:
        state.recordSuccess(result.duration, this.parts.clock.now());
        break;
      case AttemptEnd.Failed:
        state.recordFailure();
        break;
      case AttemptEnd.Refused:
        state.recordRefusal(this.parts.clock.now());
        break;
      case AttemptEnd.NotSent:
      case AttemptEnd.NoPath:
      case AttemptEnd.Misdirected:
      case AttemptEnd.Broken:
      case AttemptEnd.Unread:
      case AttemptEnd.Withdrawn:
      case AttemptEnd.Cancelled:
        // Broken attempts are announced to all daemons by a separate update.
        break;
      default:
        result.end satisfies never;
    }
  }

  /** Applies the load report that came with the first byte of a response. */
  private recordLoad(attempt: RunningAttempt | undefined, load: LoadReport | undefined): void {
    if (attempt !== undefined && load !== undefined) {
      this.parts.onLoad(attempt.state, load);
      attempt.state.recordLoadReport(load, this.parts.clock.now());
    }
  }

  private recordFirstByte(attempt: RunningAttempt | undefined): void {
    if (attempt === undefined || attempt.isResponding) {
      return;
    }
    const now = this.parts.clock.now();
    attempt.state.recordFirstByte(attempt, now);
    this.parts.onAccepted(attempt.state);
    this.parts.onChanged(attempt.state);
  }

  /** Replaces the attempts of a peer by its list, which corrects the effects of lost updates. */
  private reconcile(attempts: Map<string, RunningAttempt>, shared: SharedAttempt[]): void {
    const current = new Set(shared.map(({ key }) => key));
    const graceCutoff = this.parts.clock.now() - LIST_GRACE_PERIOD;
    [...attempts]
      .filter(([key]) => !current.has(key))
      .filter(([, { isPlacedForPeer, sentAt }]) => !isPlacedForPeer || sentAt <= graceCutoff)
      .forEach(([key]) => this.remove(attempts, key));
    shared.forEach((attempt) => {
      this.add(attempts, attempt);
      if (attempt.isResponding) {
        this.recordFirstByte(attempts.get(attempt.key));
      }
    });
  }

  /**
   * Removes placed attempts of peers that no longer send attempt lists. A large fleet takes half a
   * minute to notice that daemons are gone; until then, their attempts would make engines seem full.
   */
  private removeExpired(): void {
    const now = this.parts.clock.now();
    if (now - this.lastControlledCheckAt >= EXPIRY_CHECK_INTERVAL) {
      this.lastControlledCheckAt = now;
      this.removeUnlisted(now - CONTROLLED_LIST_TIMEOUT, this.parts.isControlled);
    }
    if (now - this.lastExpiryCheckAt >= LIST_TIMEOUT) {
      this.lastExpiryCheckAt = now;
      this.removeUnlisted(now - LIST_TIMEOUT, () => true);
    }
  }

  private removeUnlisted(cutoff: Milliseconds, mayRemove: (state: ReplicaState) => boolean): void {
    this.byPeer.forEach((attempts, peer) => {
      if ((this.lastListAt.get(peer) ?? Number.NEGATIVE_INFINITY) < cutoff) {
        [...attempts]
          .filter(([, { isPlacedForPeer, sentAt }]) => isPlacedForPeer && sentAt < cutoff)
          .filter(([, { state }]) => mayRemove(state))
          .forEach(([key]) => this.remove(attempts, key));
      }
    });
  }

  /** @param end - undefined if it is not known how the attempt ended, or if it was not sent */
  private remove(attempts: Map<string, RunningAttempt>, key: string, end?: AttemptEnd): void {
    const attempt = attempts.get(key);
    if (attempt !== undefined) {
      attempt.state.running.delete(attempt);
      attempts.delete(key);
      this.parts.onEnded(attempt, end);
      this.parts.onChanged(attempt.state);
    }
  }
}
