import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { WeightStore } from './WeightStore.js';

/** The phases of a request that an engine runs. */
export enum EngineRole {
  Mixed = 'mixed',
  Prefill = 'prefill',
  Decode = 'decode',
}

/**
 * An order to an engine.
 *
 * @public
 */
export type EngineOrder =
  | { kind: 'load'; model: string; adapter?: string; version: string }
  | { kind: 'unload'; model: string; adapter?: string; version: string }
  | { kind: 'set-role'; role: EngineRole };

/**
 * An order with its id and the fencing number of its sender.
 *
 * @public
 */
export interface FencedOrder {
  fencingNumber: number;
  orderId: string;
  order: EngineOrder;
}

/**
 * The result of an order.
 *
 * @public
 */
export type OrderOutcome =
  | { kind: 'taken'; state: EngineState }
  | { kind: 'stale-fencing-number'; highest: number }
  | { kind: 'rate-limited'; retryAfter: Milliseconds };

/**
 * The state of an engine; loaded models are named `model[:adapter]@version`.
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
 * Returns the name of the model that an order loads or unloads.
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

/** Constructor arguments of {@link EngineOrders}. */
export interface EngineOrdersSettings {
  clock: Clock;
  weights: WeightStore;
  /** Whether an order with an old fencing number is refused. */
  checksFencing: boolean;
  /** How long a load takes, in milliseconds. */
  loadTime: Milliseconds;
  /** The names of the models loaded initially. */
  loaded: readonly string[];
}

/**
 * Executes orders. An order with a known id is answered but not executed again, so that a sender
 * can safely retry after a lost response.
 */
export class EngineOrders {
  private readonly loaded: Set<string>;

  private readonly loading = new Map<string, Timer>();

  private readonly acceptedOrderIds = new Set<string>();

  private readonly history: (FencedOrder & { outcome: OrderOutcome['kind'] })[] = [];

  private role = EngineRole.Mixed;

  private highestFencingNumber = 0;

  constructor(private readonly settings: EngineOrdersSettings) {
    this.loaded = new Set(settings.loaded);
  }

  handle(order: FencedOrder): OrderOutcome {
    const outcome = this.process(order);
    this.history.push({ ...order, outcome: outcome.kind });
    return outcome;
  }

  getState(): EngineState {
    const { role, highestFencingNumber } = this;
    const loaded = [...this.loaded].sort();
    return { loaded, loading: [...this.loading.keys()].sort(), role, highestFencingNumber };
  }

  /** Returns every received order with its outcome. */
  getHistory(): (FencedOrder & { outcome: OrderOutcome['kind'] })[] {
    return [...this.history];
  }

  /** Whether the model, named with or without its version, is loaded. */
  isLoaded(model: string): boolean {
    return [...this.loaded].some((name) => name === model || name.split('@')[0] === model);
  }

  dispose(): void {
    this.loading.forEach((timer) => timer.cancel());
    this.loading.clear();
  }

  private process({ fencingNumber, orderId, order }: FencedOrder): OrderOutcome {
    if (this.settings.checksFencing && fencingNumber < this.highestFencingNumber) {
      return { kind: 'stale-fencing-number', highest: this.highestFencingNumber };
    }
    this.highestFencingNumber = Math.max(this.highestFencingNumber, fencingNumber);
    if (!this.acceptedOrderIds.has(orderId)) {
      const retryAfter = this.execute(order);
      if (retryAfter > 0) {
        return { kind: 'rate-limited', retryAfter };
      }
      this.acceptedOrderIds.add(orderId);
    }
    return { kind: 'taken', state: this.getState() };
  }

  /** @returns the milliseconds to wait if the rate limit of the weight store is reached, else 0 */
  private execute(order: EngineOrder): Milliseconds {
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
    const retryAfter = this.settings.weights.tryFetch();
    if (retryAfter > 0) {
      return retryAfter;
    }
    const timer = this.settings.clock.setTimer(this.settings.loadTime, () => {
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
