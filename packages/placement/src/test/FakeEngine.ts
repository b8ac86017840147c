import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Replica } from '@apricotrill/model';
import type { ManualClock, Milliseconds } from '@apricotrill/utils';
import { EngineRole } from '@apricotrill/model';
import { getLoadableName } from '../lib/modelName.js';
import type {
  EngineOrder,
  EngineState,
  NumberedOrder,
  OrderOutcome,
} from '../lib/EngineClient/EngineClient.js';

const LOAD_TIME: Milliseconds = 3_000;

/** The weight store, which refuses loads at times. */
export interface FakeWeightStore {
  refusesUntil: Milliseconds;
}

/** An order as it arrived at an engine. */
export interface Arrival extends NumberedOrder {
  sender: string;
  outcome: OrderOutcome['kind'];
  /** How often the engine had crashed: a new life remembers no fencing number. */
  life: number;
}

/** A model engine in memory; a crash makes it start again with nothing loaded. */
export class FakeEngine {
  readonly arrivals: Arrival[] = [];

  /** So many orders from now on are carried out and not confirmed. */
  lostAnswers = 0;

  /** Refuses every order with status 400. */
  refuses = false;

  /** How often someone looked at it. */
  looks = 0;

  private lives = 0;

  private state: EngineState;

  constructor(
    readonly replica: Replica,
    private readonly clock: ManualClock,
    private readonly weights: FakeWeightStore,
    loaded: string[] = [],
  ) {
    this.state = {
      loaded: [...loaded],
      loading: [],
      role: EngineRole.Mixed,
      highestFencingNumber: 0,
    };
  }

  getState(): EngineState {
    const { loaded, loading, role, highestFencingNumber } = this.state;
    return { loaded: [...loaded].sort(), loading: [...loading], role, highestFencingNumber };
  }

  observe(): EngineState {
    this.looks += 1;
    return this.getState();
  }

  crash(): void {
    this.lives += 1;
    this.state = { ...this.state, loaded: [], loading: [], highestFencingNumber: 0 };
  }

  order(numbered: NumberedOrder, sender: string): OrderOutcome {
    const outcome = this.getOutcome(numbered);
    this.arrivals.push({ ...numbered, sender, outcome: outcome.kind, life: this.lives });
    if (outcome.kind === 'accepted' && this.lostAnswers > 0) {
      this.lostAnswers -= 1;
      throw new Error('the answer was lost');
    }
    return outcome;
  }

  private getOutcome({ fencingNumber, order }: NumberedOrder): OrderOutcome {
    const highest = this.state.highestFencingNumber;
    if (this.replica.checksFencing && fencingNumber < highest) {
      return { kind: 'stale', highest };
    }
    if (this.refuses) {
      return { kind: 'refused', status: 400 };
    }
    if (order.kind === 'load' && this.clock.now() < this.weights.refusesUntil) {
      return { kind: 'rate-limited', retryAfter: this.weights.refusesUntil - this.clock.now() };
    }
    this.state.highestFencingNumber = this.replica.checksFencing ? fencingNumber : 0;
    this.apply(order);
    return { kind: 'accepted', state: this.getState() };
  }

  private apply(order: EngineOrder): void {
    switch (order.kind) {
      case 'load':
        this.load(getLoadableName(order));
        return;
      case 'unload':
        this.state.loaded = this.state.loaded.filter((name) => name !== getLoadableName(order));
        return;
      case 'set-role':
        this.state.role = order.role;
        return;
      default:
        throw exhaustiveSwitchError(order);
    }
  }

  private load(name: string): void {
    const { lives } = this;
    if ([...this.state.loaded, ...this.state.loading].includes(name)) {
      return;
    }
    this.state.loading.push(name);
    this.clock.setTimer(LOAD_TIME, () => {
      if (lives === this.lives) {
        this.state.loading = this.state.loading.filter((other) => other !== name);
        this.state.loaded.push(name);
      }
    });
  }
}
