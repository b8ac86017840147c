import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Configuration } from '@apricotrill/model';
import { isConverged, isOrderReflected } from './isConverged.js';
import { DropReason } from '../PlacementEvent.js';
import type { DesiredPlacement } from '../DesiredPlacement/getDesiredPlacement.js';
import type { EngineState, OrderOutcome } from '../EngineClient/EngineClient.js';
import type { EngineTable } from '../EngineTable/EngineTable.js';
import type { OrderContext, OrderEvent } from '../PlacementEvent.js';
import type { PlannedOrder, RemainingCopy } from '../PlacementPlanner/PlacementPlanner.js';
import type { ServicePlacementSettings } from './ServicePlacementSettings.js';

/** The inputs of a plan. Its orders are sent only while none of these has changed. */
export interface PlanBasis {
  configuration: Configuration;
  fencingNumber: number;
  desired: DesiredPlacement;
}

/**
 * Sends planned orders, one at a time per engine, and records their outcomes in the engine table.
 *
 * @internal
 */
export class OrderSender {
  private orderCount = 0;

  constructor(
    private readonly settings: ServicePlacementSettings,
    private readonly table: EngineTable,
  ) {}

  /** @returns whether the order was sent; also false when the load rate limit is exhausted */
  async send(planned: PlannedOrder, basis: PlanBasis): Promise<boolean> {
    const isConfirmed = await this.confirmRemainingCopy(planned.remainingCopy, basis);
    // Do not await between this check and the send: the lease may expire during any wait.
    const context = this.createContext(planned, basis);
    const dropReason = this.getDropReason(basis, isConfirmed);
    if (dropReason !== undefined) {
      this.emitEvent(context, { kind: 'order-dropped', because: dropReason });
      return false;
    }
    if (
      planned.order.kind === 'load' &&
      !this.settings.loadBudget.tryTake(this.settings.clock.now())
    ) {
      return false;
    }
    this.emitEvent(context, { kind: 'order-sent' });
    await this.sendToEngine(context, basis);
    return true;
  }

  /** Observes again the copy that an unload relies on: its engine may have crashed meanwhile. */
  private async confirmRemainingCopy(
    remainingCopy: RemainingCopy | undefined,
    basis: PlanBasis,
  ): Promise<boolean> {
    if (remainingCopy === undefined) {
      return true;
    }
    const { clock, engines } = this.settings;
    const { replica: id, name } = remainingCopy;
    try {
      const state = await engines.observe(basis.desired.engines.get(id)!.replica);
      this.recordState(id, state, basis);
      return state.loaded.includes(name);
    } catch {
      this.table.recordFailure(id, clock.now());
      return false;
    }
  }

  private getDropReason(basis: PlanBasis, isConfirmed: boolean): DropReason | undefined {
    const { getConfiguration, lease } = this.settings;
    if (lease.getFencingNumber() !== basis.fencingNumber) {
      return DropReason.LeaseNotHeld;
    }
    if (getConfiguration() !== basis.configuration) {
      return DropReason.ConfigurationChanged;
    }
    return isConfirmed ? undefined : DropReason.CopyNotConfirmed;
  }

  private async sendToEngine(context: OrderContext, basis: PlanBasis): Promise<void> {
    const { fencingNumber, order, orderId } = context;
    const { replica } = basis.desired.engines.get(context.replica)!;
    try {
      const fencedOrder = { fencingNumber, orderId, order };
      this.handleOutcome(context, await this.settings.engines.order(replica, fencedOrder), basis);
    } catch (error) {
      this.backOff(context);
      this.emitEvent(context, { kind: 'order-lost', error: error as Error });
    }
  }

  private handleOutcome(context: OrderContext, outcome: OrderOutcome, basis: PlanBasis): void {
    const { lease } = this.settings;
    switch (outcome.kind) {
      case 'accepted':
        this.handleAccepted(context, outcome.state, basis);
        return;
      case 'stale':
        this.backOff(context);
        lease.reportFenced(outcome.highest);
        this.emitEvent(context, { kind: 'order-stale', highest: outcome.highest });
        return;
      case 'rate-limited':
        this.pauseLoads(context, outcome.retryAfter);
        return;
      case 'refused':
        this.backOff(context);
        this.emitEvent(context, { kind: 'order-refused', status: outcome.status });
        return;
      default:
        throw exhaustiveSwitchError(outcome);
    }
  }

  private handleAccepted(context: OrderContext, state: EngineState, basis: PlanBasis): void {
    this.recordState(context.replica, state, basis);
    this.emitEvent(context, { kind: 'order-accepted' });
    if (isOrderReflected(context.order, state)) {
      this.table.resetBackOff(context.replica);
    } else {
      this.backOff(context);
    }
  }

  private pauseLoads(context: OrderContext, retryAfter: number | undefined): void {
    const { clock, loadBudget, options } = this.settings;
    const until = clock.now() + (retryAfter ?? options.weightStoreCooldown);
    loadBudget.pauseUntil(until);
    this.emitEvent(context, { kind: 'order-rate-limited', until });
  }

  private recordState(id: string, state: EngineState, basis: PlanBasis): void {
    const isSettled = isConverged(basis.desired, id, state);
    this.table.recordState(id, state, isSettled, this.settings.clock.now());
  }

  /**
   * The order may or may not have taken effect: the engine must be observed first, and the order is
   * not repeated at once.
   */
  private backOff({ replica }: OrderContext): void {
    const now = this.settings.clock.now();
    this.table.recordUnknownOutcome(replica, now);
    this.table.backOff(replica, now);
  }

  private createContext(planned: PlannedOrder, basis: PlanBasis): OrderContext {
    const { replica, order, reason } = planned;
    const { fencingNumber } = basis;
    const { service } = this.settings;
    const { checksFencing } = basis.desired.engines.get(replica)!.replica;
    this.orderCount += 1;
    const orderId = `${service}/${fencingNumber}/${this.orderCount}`;
    return { service, replica, order, orderId, fencingNumber, reason, checksFencing };
  }

  private emitEvent(context: OrderContext, event: OrderEvent): void {
    this.settings.onEvent({ at: this.settings.clock.now(), ...context, ...event });
  }
}
