import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Configuration } from '@apricotrill/model';
import { isConverged, isReflected } from './isConverged.js';
import { DropReason } from '../PlacementEvent.js';
import type { DesiredPlacement } from '../DesiredPlacement/getDesiredPlacement.js';
import type { EngineState, OrderOutcome } from '../EngineClient/EngineClient.js';
import type { EngineTable } from '../EngineTable/EngineTable.js';
import type { OrderContext, OrderEvent } from '../PlacementEvent.js';
import type { PlannedOrder, Witness } from '../PlacementPlanner/PlacementPlanner.js';
import type { ServiceSettings } from './ServicePlacementSettings.js';

/** What a plan was made on. An order goes out only while all of it still holds. */
export interface PlanBasis {
  configuration: Configuration;
  fencingNumber: number;
  desired: DesiredPlacement;
}

/**
 * Sends planned orders, one at a time per engine, and writes down in the table what came of them.
 *
 * @internal
 */
export class OrderSender {
  private orders = 0;

  constructor(
    private readonly settings: ServiceSettings,
    private readonly table: EngineTable,
  ) {}

  /** @returns whether the order was sent; false also while the weight store's rate is used up */
  async send(planned: PlannedOrder, basis: PlanBasis): Promise<boolean> {
    const isConfirmed = await this.isConfirmed(planned.witness, basis);
    // From here to the call nothing may wait: a lease looked at before a wait may be over after it.
    const context = this.createContext(planned, basis);
    const obstacle = this.getObstacle(basis, isConfirmed);
    if (obstacle !== undefined) {
      this.tell(context, { kind: 'order-dropped', because: obstacle });
      return false;
    }
    if (planned.order.kind === 'load' && !this.settings.loads.take(this.settings.clock.now())) {
      return false;
    }
    this.tell(context, { kind: 'order-sent' });
    await this.call(context, basis);
    return true;
  }

  /** Looks once more at the copy that an unload relies on: its engine may have crashed since. */
  private async isConfirmed(witness: Witness | undefined, basis: PlanBasis): Promise<boolean> {
    if (witness === undefined) {
      return true;
    }
    const { clock, engines } = this.settings;
    const { replica: id, name } = witness;
    try {
      const state = await engines.observe(basis.desired.engines.get(id)!.replica);
      this.takeState(id, state, basis);
      return state.loaded.includes(name);
    } catch {
      this.table.takeFailure(id, clock.now());
      return false;
    }
  }

  private getObstacle(basis: PlanBasis, isConfirmed: boolean): DropReason | undefined {
    const { getConfiguration, lease } = this.settings;
    if (lease.getFencingNumber() !== basis.fencingNumber) {
      return DropReason.LeaseNotHeld;
    }
    if (getConfiguration() !== basis.configuration) {
      return DropReason.ConfigurationChanged;
    }
    return isConfirmed ? undefined : DropReason.CopyNotConfirmed;
  }

  private async call(context: OrderContext, basis: PlanBasis): Promise<void> {
    const { fencingNumber, order, orderId } = context;
    const { replica } = basis.desired.engines.get(context.replica)!;
    try {
      const numbered = { fencingNumber, orderId, order };
      this.takeOutcome(context, await this.settings.engines.order(replica, numbered), basis);
    } catch (error) {
      this.hold(context);
      this.tell(context, { kind: 'order-lost', error: error as Error });
    }
  }

  private takeOutcome(context: OrderContext, outcome: OrderOutcome, basis: PlanBasis): void {
    const { lease } = this.settings;
    switch (outcome.kind) {
      case 'accepted':
        this.takeAccepted(context, outcome.state, basis);
        return;
      case 'stale':
        this.hold(context);
        lease.reportFenced(outcome.highest);
        this.tell(context, { kind: 'order-stale', highest: outcome.highest });
        return;
      case 'rate-limited':
        this.pauseLoads(context, outcome.retryAfter);
        return;
      case 'refused':
        this.hold(context);
        this.tell(context, { kind: 'order-refused', status: outcome.status });
        return;
      default:
        throw exhaustiveSwitchError(outcome);
    }
  }

  private takeAccepted(context: OrderContext, state: EngineState, basis: PlanBasis): void {
    this.takeState(context.replica, state, basis);
    this.tell(context, { kind: 'order-accepted' });
    if (isReflected(context.order, state)) {
      this.table.endBackOff(context.replica);
    } else {
      this.hold(context);
    }
  }

  private pauseLoads(context: OrderContext, retryAfter: number | undefined): void {
    const { clock, loads, options } = this.settings;
    const until = clock.now() + (retryAfter ?? options.weightStoreRest);
    loads.pauseUntil(until);
    this.tell(context, { kind: 'order-rate-limited', until });
  }

  private takeState(id: string, state: EngineState, basis: PlanBasis): void {
    const isQuiet = isConverged(basis.desired, id, state);
    this.table.takeState(id, state, isQuiet, this.settings.clock.now());
  }

  /** The order may or may not have been carried out: look first, and don't repeat it at once. */
  private hold({ replica }: OrderContext): void {
    const now = this.settings.clock.now();
    this.table.markUnsure(replica, now);
    this.table.backOff(replica, now);
  }

  private createContext(planned: PlannedOrder, basis: PlanBasis): OrderContext {
    const { replica, order, reason } = planned;
    const { fencingNumber } = basis;
    const { service } = this.settings;
    const { checksFencing } = basis.desired.engines.get(replica)!.replica;
    this.orders += 1;
    const orderId = `${service}/${fencingNumber}/${this.orders}`;
    return { service, replica, order, orderId, fencingNumber, reason, checksFencing };
  }

  private tell(context: OrderContext, event: OrderEvent): void {
    this.settings.onDecision({ at: this.settings.clock.now(), ...context, ...event });
  }
}
