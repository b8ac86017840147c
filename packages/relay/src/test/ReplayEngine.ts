import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { ChosenReplica } from '../lib/decide/chooseReplica.js';
import { getMemoryTokens } from '../lib/decide/getMemoryTokens.js';
import type { PlacementCriteria } from '../lib/decide/messages.js';
import type { RunningAttempt } from '../lib/decide/RequestRecord.js';
import type { ReplicaState } from '../lib/decide/ReplicaState/ReplicaState.js';

/** How fast a {@link ReplayEngine} works. */
export interface ReplayPace {
  /** Time to prefill a token. */
  tokenTime: Milliseconds;
  /** Time from the first token to the end of the response. */
  responseTime: Milliseconds;
}

/** A request at a {@link ReplayEngine}. */
interface EngineRequest {
  attempt: RunningAttempt;
  onFirstToken: () => void;
}

/** An engine that prefills one prompt at a time, and the state that a placer keeps of it. */
export class ReplayEngine {
  private readonly queue: EngineRequest[] = [];

  private isPrefilling = false;

  /** @param onChange - called after each first token and each end */
  constructor(
    readonly state: ReplicaState,
    private readonly clock: Clock,
    public pace: ReplayPace,
    private readonly onChange: () => void,
  ) {}

  /** Begins a request that was sent here. */
  begin({ choice }: ChosenReplica, criteria: PlacementCriteria, onFirstToken: () => void): void {
    const { state, clock } = this;
    const { prompt, pauseTarget } = criteria;
    const attempt: RunningAttempt = {
      number: 1,
      key: '',
      isOwn: true,
      isPlacedForPeer: false,
      state,
      sentAt: clock.now(),
      missingTokens: choice.missingTokens,
      tokensAhead: choice.tokensAhead,
      isInformative: choice.isTelling,
      copyTime: 0,
      memoryTokens: getMemoryTokens(prompt),
      pauseTarget,
      prompt,
      isResponding: false,
      hasMissedPauseTarget: false,
      placer: undefined,
      observers: [],
    };
    state.recordSent(attempt, clock.now());
    if (prompt !== undefined) {
      state.cache.addExpected(prompt, clock.now());
    }
    this.queue.push({ attempt, onFirstToken });
    this.prefillNext();
  }

  private prefillNext(): void {
    const next = this.isPrefilling ? undefined : this.queue.shift();
    if (next === undefined) {
      return;
    }
    this.isPrefilling = true;
    const { missingTokens } = next.attempt;
    this.clock.setTimer(missingTokens * this.pace.tokenTime, () => this.emitFirstToken(next));
  }

  private emitFirstToken({ attempt, onFirstToken }: EngineRequest): void {
    this.isPrefilling = false;
    Object.assign(attempt, { isResponding: true });
    this.state.recordFirstByte(attempt, this.clock.now());
    onFirstToken();
    this.clock.setTimer(this.pace.responseTime, () => {
      this.state.running.delete(attempt);
      this.onChange();
    });
    this.prefillNext();
    this.onChange();
  }
}
