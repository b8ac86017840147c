import { isUnloadable } from '../DesiredPlacement/getDesiredPlacement.js';
import { getBaseName, getLoadableModel, getLoadableName } from '../modelName.js';
import type { DesiredEngine, DesiredPlacement } from '../DesiredPlacement/getDesiredPlacement.js';
import type { EngineOrder, EngineState } from '../EngineClient/EngineClient.js';

/** Why an order is planned. */
export enum OrderReason {
  /** A desired model is not loaded. */
  Missing = 'missing',
  /** The engine does not have its desired role. */
  WrongRole = 'wrong-role',
  /** A model is loaded that is not desired on this engine, and enough copies remain elsewhere. */
  Surplus = 'surplus',
}

/**
 * A copy of a model that stays loaded. It is observed again before the unload that relies on it.
 *
 * @public
 */
export interface RemainingCopy {
  replica: string;
  name: string;
}

/**
 * An order to send, and the copy it relies on.
 *
 * @public
 */
export interface PlannedOrder {
  replica: string;
  order: EngineOrder;
  reason: OrderReason;
  /** Absent when the order does not depend on another copy. */
  remainingCopy?: RemainingCopy;
}

/**
 * The input of the planner.
 *
 * @public
 */
export interface PlanInput {
  desired: DesiredPlacement;
  /** Reported engine states. Unreachable engines are absent and get no order. */
  observed: ReadonlyMap<string, EngineState>;
  /** Engines with an order of unknown outcome. They get no other order and count as changing. */
  pending: ReadonlySet<string>;
  /** Engines that get no order for now and do not count as changing. */
  suspended: ReadonlySet<string>;
  /** Maximum number of replicas that may change at once. */
  maxChanging: number;
}

interface Candidate {
  id: string;
  engine: DesiredEngine;
  state: EngineState;
}

/** The order that gives an engine a missing model or its desired role, if needed. */
function getLoadOrRoleOrder({ id, engine, state }: Candidate): PlannedOrder | undefined {
  const missing = engine.modelNames.find((name) => !state.loaded.includes(name));
  const model = missing === undefined ? undefined : getLoadableModel(missing);
  if (model !== undefined) {
    return { replica: id, order: { kind: 'load', ...model }, reason: OrderReason.Missing };
  }
  if (engine.role !== undefined && engine.role !== state.role) {
    const order: EngineOrder = { kind: 'set-role', role: engine.role };
    return { replica: id, order, reason: OrderReason.WrongRole };
  }
  return undefined;
}

/**
 * Compares the desired placement with the observed states and plans the next orders: at most one
 * per replica, loads before unloads, within the maximum number of changing replicas. Planning is
 * deterministic, and a converged service gets no orders.
 *
 * @example
 * ```ts
 * const orders = new PlacementPlanner(input).getOrders();
 * ```
 * @public
 */
export class PlacementPlanner {
  /** Number of copies loaded on reachable engines, by base name. */
  private readonly copyCounts = new Map<string, number>();

  /** Number of copies desired on reachable engines, by base name; 0 if desired only on others. */
  private readonly targetCounts = new Map<string, number>();

  /** A loaded copy that is to stay, by base name. */
  private readonly remainingCopies = new Map<string, RemainingCopy>();

  private changingCount = 0;

  constructor(private readonly input: PlanInput) {
    input.observed.forEach((state, id) => this.countState(id, state));
    input.desired.engines.forEach((engine, id) => this.countDesired(id, engine));
    const unobserved = [...input.pending].filter((id) => !input.observed.has(id));
    this.changingCount += unobserved.length;
  }

  /** The orders that can be sent now. Orders that must wait are left to later plans. */
  getOrders(): PlannedOrder[] {
    const candidates = this.getCandidates();
    const loadAndRoleOrders = candidates.map((candidate) => getLoadOrRoleOrder(candidate));
    const unloadOrders = candidates.map((candidate) => this.getUnloadOrder(candidate));
    const sortedOrders = loadAndRoleOrders
      .filter((order) => order !== undefined)
      .sort((left, right) => this.getCopyCount(left) - this.getCopyCount(right));
    return [...sortedOrders, ...unloadOrders.filter((order) => order !== undefined)].filter(() =>
      this.tryStartChange(),
    );
  }

  private countState(id: string, state: EngineState): void {
    state.loaded.forEach((name) => {
      const base = getBaseName(name);
      this.copyCounts.set(base, (this.copyCounts.get(base) ?? 0) + 1);
    });
    const isChanging = state.loading.length > 0 || this.input.pending.has(id);
    if (isChanging && !this.input.suspended.has(id)) {
      this.changingCount += 1;
    }
  }

  private countDesired(id: string, engine: DesiredEngine): void {
    const state = this.input.observed.get(id);
    engine.modelNames.forEach((name) => {
      const base = getBaseName(name);
      this.targetCounts.set(
        base,
        (this.targetCounts.get(base) ?? 0) + (state === undefined ? 0 : 1),
      );
      if (state?.loaded.includes(name) && !this.remainingCopies.has(base)) {
        this.remainingCopies.set(base, { replica: id, name });
      }
    });
  }

  /** Engines that may get an order, sorted by id. */
  private getCandidates(): Candidate[] {
    const { desired, observed, pending, suspended } = this.input;
    const candidates: Candidate[] = [];
    desired.engines.forEach((engine, id) => {
      const state = observed.get(id);
      const canTakeOrder = !pending.has(id) && !suspended.has(id);
      if (state !== undefined && canTakeOrder && state.loading.length === 0) {
        candidates.push({ id, engine, state });
      }
    });
    return candidates.sort((left, right) => (left.id < right.id ? -1 : 1));
  }

  /** An engine unloads models only after it has all its desired models and its role. */
  private getUnloadOrder(candidate: Candidate): PlannedOrder | undefined {
    if (getLoadOrRoleOrder(candidate) !== undefined) {
      return undefined;
    }
    const { id, engine, state } = candidate;
    const surplus = state.loaded
      .filter((name) => !engine.modelNames.includes(name) && this.canUnload(name))
      .sort()[0];
    const model = surplus === undefined ? undefined : getLoadableModel(surplus);
    if (model === undefined) {
      return undefined;
    }
    const base = getBaseName(surplus!);
    this.copyCounts.set(base, this.copyCounts.get(base)! - 1);
    const order: EngineOrder = { kind: 'unload', ...model };
    return {
      replica: id,
      order,
      reason: OrderReason.Surplus,
      remainingCopy: this.remainingCopies.get(base),
    };
  }

  /**
   * A surplus copy of a model that is still desired is unloaded only while enough other copies are
   * loaded, at least one of them on an engine that keeps it. Otherwise the model could have no copy
   * between its unload here and its load elsewhere.
   */
  private canUnload(name: string): boolean {
    const base = getBaseName(name);
    if (!isUnloadable(this.input.desired, name)) {
      return false;
    }
    const target = this.targetCounts.get(base);
    if (target === undefined) {
      return true;
    }
    const remaining = this.copyCounts.get(base)! - 1;
    return this.remainingCopies.has(base) && remaining >= target;
  }

  private getCopyCount({ order }: PlannedOrder): number {
    return order.kind === 'load'
      ? (this.copyCounts.get(getBaseName(getLoadableName(order))) ?? 0)
      : 0;
  }

  private tryStartChange(): boolean {
    if (this.changingCount >= this.input.maxChanging) {
      return false;
    }
    this.changingCount += 1;
    return true;
  }
}
