import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { WeightStore } from './WeightStore.js';

/** What an engine does for requests. */
export enum EngineRole {
  Mixed = 'mixed',
  Prefill = 'prefill',
  Decode = 'decode',
}

/**
 * What an engine can be told to do.
 *
 * @public
 */
export type EngineOrder =
  | { kind: 'load'; model: string; adapter?: string; version: string }
  | { kind: 'unload'; model: string; adapter?: string; version: string }
  | { kind: 'set-role'; role: EngineRole };

/**
 * An order with the identity of its sending and the fencing number of its sender.
 *
 * @public
 */
export interface FencedOrder {
  fencingNumber: number;
  orderId: string;
  order: EngineOrder;
}

/**
 * The engine's word on an order.
 *
 * @public
 */
export type OrderOutcome =
  | { kind: 'taken'; state: EngineState }
  | { kind: 'stale-fencing-number'; highest: number }
  | { kind: 'rate-limited'; retryAfter: Milliseconds };

/**
 * What is loaded on an engine, by names of the form `model[:adapter]@version`.
 *
 * @public
 */
export interface EngineState {
  loaded: string[];
  loading: string[];
  role: EngineRole;
  highestFencingNumber: number;
}

/**
 * The name of what an order loads or unloads.
 *
 * @example
 * ```ts
 * getLoadedName({ model: 'kielimalli', adapter: 'quotes', version: '3' }); // kielimalli:quotes@3
 * ```
 * @public
 */
export function getLoadedName(part: { model: string; adapter?: string; version: string }): string {
  const adapter = part.adapter === undefined ? '' : `:${part.adapter}`;
  return `${part.model}${adapter}@${part.version}`;
}

/** How an engine deals with orders. */
export interface EngineOrdersSetup {
  clock: Clock;
  weights: WeightStore;
  /** Whether an order with an old fencing number is refused. */
  checksFencing: boolean;
  /** How long a load takes, in milliseconds. */
  loadTime: Milliseconds;
  /** Names loaded from the start. */
  loaded: readonly string[];
}

/**
 * Carries out orders. An order whose identity was seen before is answered again and not carried
 * out again, so that a sender who lost the answer can ask again.
 */
export class EngineOrders {
  private readonly loaded: Set<string>;

  private readonly loading = new Map<string, Timer>();

  private readonly taken = new Set<string>();

  private readonly history: (FencedOrder & { outcome: OrderOutcome['kind'] })[] = [];

  private role = EngineRole.Mixed;

  private highestFencingNumber = 0;

  constructor(private readonly setup: EngineOrdersSetup) {
    this.loaded = new Set(setup.loaded);
  }

  handle(order: FencedOrder): OrderOutcome {
    const outcome = this.decide(order);
    this.history.push({ ...order, outcome: outcome.kind });
    return outcome;
  }

  getState(): EngineState {
    const { role, highestFencingNumber } = this;
    const loaded = [...this.loaded].sort();
    return { loaded, loading: [...this.loading.keys()].sort(), role, highestFencingNumber };
  }

  /** Every order that arrived and what became of it, for the oracle of tests. */
  getHistory(): (FencedOrder & { outcome: OrderOutcome['kind'] })[] {
    return [...this.history];
  }

  /** Whether a request for the model, named with or without its version, can run. */
  serves(model: string): boolean {
    return [...this.loaded].some((name) => name === model || name.split('@')[0] === model);
  }

  dispose(): void {
    this.loading.forEach((timer) => timer.cancel());
    this.loading.clear();
  }

  private decide({ fencingNumber, orderId, order }: FencedOrder): OrderOutcome {
    if (this.setup.checksFencing && fencingNumber < this.highestFencingNumber) {
      return { kind: 'stale-fencing-number', highest: this.highestFencingNumber };
    }
    this.highestFencingNumber = Math.max(this.highestFencingNumber, fencingNumber);
    if (!this.taken.has(orderId)) {
      const retryAfter = this.carryOut(order);
      if (retryAfter > 0) {
        return { kind: 'rate-limited', retryAfter };
      }
      this.taken.add(orderId);
    }
    return { kind: 'taken', state: this.getState() };
  }

  /** @returns above 0 when the weight store's rate is used up */
  private carryOut(order: EngineOrder): Milliseconds {
    switch (order.kind) {
      case 'load':
        return this.load(getLoadedName(order));
      case 'unload':
        this.unload(getLoadedName(order));
        return 0;
      case 'set-role':
        this.role = order.role;
        return 0;
      default:
        throw exhaustiveSwitchError(order);
    }
  }

  private load(name: string): Milliseconds {
    if (this.loaded.has(name) || this.loading.has(name)) {
      return 0;
    }
    const retryAfter = this.setup.weights.tryFetch();
    if (retryAfter > 0) {
      return retryAfter;
    }
    const timer = this.setup.clock.setTimer(this.setup.loadTime, () => {
      this.loading.delete(name);
      this.loaded.add(name);
    });
    this.loading.set(name, timer);
    return 0;
  }

  private unload(name: string): void {
    this.loading.get(name)?.cancel();
    this.loading.delete(name);
    this.loaded.delete(name);
  }
}
