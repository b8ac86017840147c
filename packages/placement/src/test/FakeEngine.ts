import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Replica } from '@apricotrill/model';
import type { ManualClock, Milliseconds } from '@apricotrill/utils';
import { EngineRole } from '@apricotrill/model';
import { getLoadableName } from '../lib/modelName.js';
import type {
  EngineOrder,
  EngineState,
  FencedOrder,
  OrderOutcome,
} from '../lib/EngineClient/EngineClient.js';

const LOAD_DURATION: Milliseconds = 3_000;

/** The state of the simulated weight store, which can rate limit loads. */
export interface FakeWeightStore {
  rateLimitedUntil: Milliseconds;
}

/** An order as an engine received it. */
export interface ReceivedOrder extends FencedOrder {
  sender: string;
  outcome: OrderOutcome['kind'];
  /** How often the engine had restarted; a restart clears its highest fencing number. */
  restartCount: number;
}

/** An in-memory model engine; after a crash it restarts with no models loaded. */
export class FakeEngine {
  readonly receivedOrders: ReceivedOrder[] = [];

  /** The number of accepted orders, from now on, whose response is lost. */
  lostResponses = 0;

  /** Whether it refuses every order with status 400. */
  refusesOrders = false;

  /** How often it was observed. */
  observationCount = 0;

  private restartCount = 0;

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
    this.observationCount += 1;
    return this.getState();
  }

  crash(): void {
    this.restartCount += 1;
    this.state = { ...this.state, loaded: [], loading: [], highestFencingNumber: 0 };
  }

  order(fencedOrder: FencedOrder, sender: string): OrderOutcome {
    const outcome = this.getOutcome(fencedOrder);
    this.receivedOrders.push({
      ...fencedOrder,
      sender,
      outcome: outcome.kind,
      restartCount: this.restartCount,
    });
    if (outcome.kind === 'accepted' && this.lostResponses > 0) {
      this.lostResponses -= 1;
      throw new Error('response lost');
    }
    return outcome;
  }

  private getOutcome({ fencingNumber, order }: FencedOrder): OrderOutcome {
    const highest = this.state.highestFencingNumber;
    if (this.replica.checksFencing && fencingNumber < highest) {
      return { kind: 'stale', highest };
    }
    if (this.refusesOrders) {
      return { kind: 'refused', status: 400 };
    }
    if (order.kind === 'load' && this.clock.now() < this.weights.rateLimitedUntil) {
      return { kind: 'rate-limited', retryAfter: this.weights.rateLimitedUntil - this.clock.now() };
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
    const { restartCount } = this;
    if ([...this.state.loaded, ...this.state.loading].includes(name)) {
      return;
    }
    this.state.loading.push(name);
    this.clock.setTimer(LOAD_DURATION, () => {
      if (restartCount === this.restartCount) {
        this.state.loading = this.state.loading.filter((other) => other !== name);
        this.state.loaded.push(name);
      }
    });
  }
}
