import PQueue from 'p-queue';
import type { Configuration, Replica } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';
import { getDesiredPlacement } from '../DesiredPlacement/getDesiredPlacement.js';
import { EngineTable } from '../EngineTable/EngineTable.js';
import { PlacementPlanner } from '../PlacementPlanner/PlacementPlanner.js';
import { Wakeup } from '../Wakeup.js';
import { isConverged } from './isConverged.js';
import { OrderSender } from './OrderSender.js';
import type { DesiredPlacement } from '../DesiredPlacement/getDesiredPlacement.js';
import type { PlannedOrder } from '../PlacementPlanner/PlacementPlanner.js';
import type { ServicePlacementSettings } from './ServicePlacementSettings.js';

const EMPTY_PLACEMENT: DesiredPlacement = { engines: new Map(), unversioned: [] };

/**
 * Manages the engines of one service. While this daemon holds the lease it observes the engines,
 * plans and sends orders in repeated rounds. The rounds continue after convergence: an engine that
 * does not check fencing numbers may accept a late order from a previous holder that was paused,
 * and only a later round reverts its effect.
 *
 * @internal
 */
export class ServicePlacement {
  private readonly table: EngineTable;

  private readonly sender: OrderSender;

  private readonly wakeup: Wakeup;

  private readonly observationQueue: PQueue;

  private readonly orderQueue: PQueue;

  private readonly unsubscribe: () => void;

  private readonly running: Promise<void>;

  private configuration: Configuration | undefined;

  private desired: DesiredPlacement = EMPTY_PLACEMENT;

  /** The fencing number the table was filled under; undefined while the lease is not held. */
  private fencingNumber: number | undefined;

  private disposed = false;

  constructor(private readonly settings: ServicePlacementSettings) {
    const { clock, options } = settings;
    this.table = new EngineTable(options);
    this.sender = new OrderSender(settings, this.table);
    this.wakeup = new Wakeup(clock);
    this.observationQueue = new PQueue({ concurrency: options.observeConcurrency });
    this.orderQueue = new PQueue({ concurrency: options.orderConcurrency });
    this.unsubscribe = settings.lease.onChange(() => this.wakeup.wake());
    this.running = this.run();
  }

  /** Starts a round to apply the changed configuration. */
  handleConfigurationChange(): void {
    this.wakeup.wake();
  }

  /** Observes an engine soon, for instance after it reported that a model is missing. */
  observeSoon(replica: string): void {
    this.table.observeSoon(replica, this.settings.clock.now());
    this.wakeup.wake();
  }

  /** The fencing number of this daemon's orders; undefined when it does not hold the lease. */
  getFencingNumber(): number | undefined {
    return this.settings.lease.getFencingNumber();
  }

  /** Stops the rounds, waits for orders in flight and releases the lease. */
  async release(): Promise<void> {
    this.stop();
    await this.running;
    await this.settings.lease.release();
    this.syncLease();
  }

  /** Stops the rounds without releasing the lease, which then expires. */
  dispose(): void {
    this.stop();
    this.settings.lease.dispose();
  }

  private stop(): void {
    this.disposed = true;
    this.unsubscribe();
    this.wakeup.wake();
  }

  private async run(): Promise<void> {
    while (!this.disposed) {
      this.syncLease();
      // Rounds are sequential: each plans from the results of the previous one.
      const next =
        // eslint-disable-next-line no-await-in-loop
        this.fencingNumber === undefined ? Number.POSITIVE_INFINITY : await this.reconcile();
      if (!this.disposed) {
        // eslint-disable-next-line no-await-in-loop
        await this.wakeup.wait(next);
      }
    }
  }

  /** Resets the engine table when the lease is acquired: earlier observations may be outdated. */
  private syncLease(): void {
    const { clock, lease, loadBudget, service, onEvent } = this.settings;
    const fencingNumber = lease.getFencingNumber();
    const at = clock.now();
    if (fencingNumber === this.fencingNumber) {
      return;
    }
    this.fencingNumber = fencingNumber;
    if (fencingNumber === undefined) {
      onEvent({ kind: 'lease-lost', at, service });
      return;
    }
    // The previous holder may have used the whole load rate until now.
    loadBudget.drain(at);
    this.table.reset(this.desired.engines.keys(), at);
    onEvent({ kind: 'lease-gained', at, service, fencingNumber });
  }

  /** @returns when the next round is due */
  private async reconcile(): Promise<Milliseconds> {
    const { clock, lease } = this.settings;
    this.syncConfiguration();
    await this.observeDue();
    const isCurrent = lease.getFencingNumber() === this.fencingNumber;
    if (!isCurrent || this.disposed || !this.table.isFullyObserved()) {
      return this.getNextRoundTime();
    }
    const orders = this.plan();
    const sent = await this.sendOrders(orders);
    if (sent.includes(true)) {
      return clock.now();
    }
    const isLoadDeferred = orders.some(({ order }) => order.kind === 'load');
    const nextLoadAt = this.settings.loadBudget.getNextAvailableAt(clock.now());
    return isLoadDeferred ? Math.min(this.getNextRoundTime(), nextLoadAt) : this.getNextRoundTime();
  }

  private syncConfiguration(): void {
    const { clock, getConfiguration, onEvent, options, service } = this.settings;
    const configuration = getConfiguration();
    if (configuration === this.configuration || configuration === undefined) {
      return;
    }
    const at = clock.now();
    const previous = this.desired;
    this.configuration = configuration;
    this.desired = getDesiredPlacement(configuration, service, options);
    this.table.track(this.desired.engines.keys(), at);
    this.desired.engines.forEach((engine, id) => {
      if (JSON.stringify(engine) !== JSON.stringify(previous.engines.get(id))) {
        this.table.observeSoon(id, at);
      }
    });
    this.desired.unversioned.forEach((model) => {
      onEvent({ kind: 'model-unversioned', at, service, model });
    });
  }

  private plan(): PlannedOrder[] {
    if (!this.table.hasMismatch()) {
      return [];
    }
    const { clock, options } = this.settings;
    const now = clock.now();
    const maxChanging = Math.floor(this.desired.engines.size * options.maxChangingRatio);
    return new PlacementPlanner({
      desired: this.desired,
      observed: this.table.getObserved(),
      pending: this.table.getPending(now),
      suspended: this.table.getSuspended(now),
      maxChanging: Math.max(1, maxChanging),
    }).getOrders();
  }

  /** @returns for each order, whether it was sent */
  private async sendOrders(orders: PlannedOrder[]): Promise<boolean[]> {
    const basis = {
      configuration: this.configuration!,
      fencingNumber: this.fencingNumber!,
      desired: this.desired,
    };
    const sends = orders.map((planned) =>
      this.orderQueue.add(async () => !this.disposed && this.sender.send(planned, basis)),
    );
    return Promise.all(sends);
  }

  /** Observes the engines that are due, within the daemon's observation budget; others stay due. */
  private async observeDue(): Promise<void> {
    const { clock, observationBudget } = this.settings;
    const due = this.table.getDue(clock.now()).filter(() => observationBudget.tryTake(clock.now()));
    await Promise.all(
      due
        .map((id) => this.desired.engines.get(id)?.replica)
        .filter((replica) => replica !== undefined)
        .map((replica) => this.observationQueue.add(() => this.observe(replica))),
    );
  }

  private async observe(replica: Replica): Promise<void> {
    const { clock, engines, lease, onEvent, service } = this.settings;
    if (this.disposed) {
      return;
    }
    const { id, checksFencing } = replica;
    const before = this.table.getState(id);
    try {
      const state = await engines.observe(replica);
      const at = clock.now();
      this.table.recordState(id, state, isConverged(this.desired, id, state), at);
      if (before === undefined) {
        onEvent({ kind: 'engine-met', at, service, replica: id, checksFencing });
      }
      lease.reportFenced(state.highestFencingNumber);
    } catch (error) {
      const at = clock.now();
      if (this.table.recordFailure(id, at)) {
        onEvent({ kind: 'engine-unreachable', at, service, replica: id, error: error as Error });
      }
    }
  }

  /**
   * Waits at least `observeChanging`, so that observations are batched. Otherwise each round
   * could scan the whole table for a single observation.
   */
  private getNextRoundTime(): Milliseconds {
    const { clock, options } = this.settings;
    return Math.max(this.table.getNextDue(), clock.now() + options.observeChanging);
  }
}
