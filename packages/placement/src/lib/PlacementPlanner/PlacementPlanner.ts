import { isUnloadable } from '../DesiredPlacement/getDesiredPlacement.js';
import { getBaseName, getLoadableModel, getLoadableName } from '../modelName.js';
import type { DesiredEngine, DesiredPlacement } from '../DesiredPlacement/getDesiredPlacement.js';
import type { EngineOrder, EngineState } from '../EngineClient/EngineClient.js';

/** Why an order is given. */
export enum OrderReason {
  /** The engine lacks a model it should have. */
  Missing = 'missing',
  /** The engine has another role than it should have. */
  WrongRole = 'wrong-role',
  /** The engine has a model it should not have, and others carry enough copies. */
  Surplus = 'surplus',
}

/**
 * A copy of a model that stays loaded. An unload is sent only after looking at it once more.
 *
 * @public
 */
export interface Witness {
  replica: string;
  name: string;
}

/**
 * An order to give, and what it relies on.
 *
 * @public
 */
export interface PlannedOrder {
  replica: string;
  order: EngineOrder;
  reason: OrderReason;
  /** Absent when nothing depends on another copy. */
  witness?: Witness;
}

/**
 * What is known when planning.
 *
 * @public
 */
export interface PlanInput {
  desired: DesiredPlacement;
  /** What engines reported; one that can't be reached is absent and gets no order. */
  observed: ReadonlyMap<string, EngineState>;
  /** Engines with an order whose fate isn't known: no further order, and they count as changing. */
  busy: ReadonlySet<string>;
  /** Engines that get no order for now and don't count as changing. */
  resting: ReadonlySet<string>;
  /** How many replicas may change at once. */
  changingAtMost: number;
}

interface Mismatch {
  id: string;
  wanted: DesiredEngine;
  state: EngineState;
}

/** What an engine lacks, if anything. */
function getRaisingOrder({ id, wanted, state }: Mismatch): PlannedOrder | undefined {
  const missing = wanted.names.find((name) => !state.loaded.includes(name));
  const model = missing === undefined ? undefined : getLoadableModel(missing);
  if (model !== undefined) {
    return { replica: id, order: { kind: 'load', ...model }, reason: OrderReason.Missing };
  }
  if (wanted.role !== undefined && wanted.role !== state.role) {
    const order: EngineOrder = { kind: 'set-role', role: wanted.role };
    return { replica: id, order, reason: OrderReason.WrongRole };
  }
  return undefined;
}

/**
 * Compares what is wanted with what is there, and names the next orders: one a replica, loads
 * before unloads, and at most so many replicas of the service changing at once. Pure: the same
 * input gives the same orders, and a state as wanted gives none.
 *
 * @example
 * ```ts
 * const orders = new PlacementPlanner(input).getOrders();
 * ```
 * @public
 */
export class PlacementPlanner {
  /** Copies loaded on reachable engines, by base name. */
  private readonly copies = new Map<string, number>();

  /** Copies wanted on reachable engines, by base name; 0 when wanted only on others. */
  private readonly targets = new Map<string, number>();

  /** A loaded copy that stays, by base name. */
  private readonly witnesses = new Map<string, Witness>();

  private changing = 0;

  constructor(private readonly input: PlanInput) {
    input.observed.forEach((state, id) => this.countState(id, state));
    input.desired.engines.forEach((wanted, id) => this.countWanted(id, wanted));
    const away = [...input.busy].filter((id) => !input.observed.has(id));
    this.changing += away.length;
  }

  /** The orders that may be given now; an order waits for the plans that follow if it can't yet. */
  getOrders(): PlannedOrder[] {
    const mismatches = this.getMismatches();
    const raising = mismatches.map((mismatch) => getRaisingOrder(mismatch));
    const lowering = mismatches.map((mismatch) => this.getLoweringOrder(mismatch));
    const scarceFirst = raising
      .filter((order) => order !== undefined)
      .sort((left, right) => this.getCopiesFor(left) - this.getCopiesFor(right));
    return [...scarceFirst, ...lowering.filter((order) => order !== undefined)].filter(() =>
      this.mayStart(),
    );
  }

  private countState(id: string, state: EngineState): void {
    state.loaded.forEach((name) => {
      const base = getBaseName(name);
      this.copies.set(base, (this.copies.get(base) ?? 0) + 1);
    });
    const isChanging = state.loading.length > 0 || this.input.busy.has(id);
    if (isChanging && !this.input.resting.has(id)) {
      this.changing += 1;
    }
  }

  private countWanted(id: string, wanted: DesiredEngine): void {
    const state = this.input.observed.get(id);
    wanted.names.forEach((name) => {
      const base = getBaseName(name);
      this.targets.set(base, (this.targets.get(base) ?? 0) + (state === undefined ? 0 : 1));
      if (state?.loaded.includes(name) && !this.witnesses.has(base)) {
        this.witnesses.set(base, { replica: id, name });
      }
    });
  }

  /** Engines that may get an order, in the order of their ids. */
  private getMismatches(): Mismatch[] {
    const { desired, observed, busy, resting } = this.input;
    const found: Mismatch[] = [];
    desired.engines.forEach((wanted, id) => {
      const state = observed.get(id);
      const isFree = !busy.has(id) && !resting.has(id);
      if (state !== undefined && isFree && state.loading.length === 0) {
        found.push({ id, wanted, state });
      }
    });
    return found.sort((left, right) => (left.id < right.id ? -1 : 1));
  }

  /** An unload comes only once the engine has all it should have, and its role. */
  private getLoweringOrder(mismatch: Mismatch): PlannedOrder | undefined {
    if (getRaisingOrder(mismatch) !== undefined) {
      return undefined;
    }
    const { id, wanted, state } = mismatch;
    const surplus = state.loaded
      .filter((name) => !wanted.names.includes(name) && this.mayUnload(name))
      .sort()[0];
    const model = surplus === undefined ? undefined : getLoadableModel(surplus);
    if (model === undefined) {
      return undefined;
    }
    const base = getBaseName(surplus!);
    this.copies.set(base, this.copies.get(base)! - 1);
    const order: EngineOrder = { kind: 'unload', ...model };
    return {
      replica: id,
      order,
      reason: OrderReason.Surplus,
      witness: this.witnesses.get(base),
    };
  }

  /**
   * A surplus copy of a model that is still wanted goes only while enough others are loaded, one of
   * them where it is wanted to stay. Otherwise callers of the model would find no copy at all
   * between its unload here and its load elsewhere.
   */
  private mayUnload(name: string): boolean {
    const base = getBaseName(name);
    if (!isUnloadable(this.input.desired, name)) {
      return false;
    }
    const target = this.targets.get(base);
    if (target === undefined) {
      return true;
    }
    const remaining = this.copies.get(base)! - 1;
    return this.witnesses.has(base) && remaining >= target;
  }

  private getCopiesFor({ order }: PlannedOrder): number {
    return order.kind === 'load' ? (this.copies.get(getBaseName(getLoadableName(order))) ?? 0) : 0;
  }

  private mayStart(): boolean {
    if (this.changing >= this.input.changingAtMost) {
      return false;
    }
    this.changing += 1;
    return true;
  }
}
