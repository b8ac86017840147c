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
import type { ServiceSettings } from './ServicePlacementSettings.js';

const NOTHING: DesiredPlacement = { engines: new Map(), unversioned: [] };

/**
 * The duty for one service's engines: while this daemon holds the lease it looks at the engines,
 * plans, and gives orders, round after round. The rounds never end by themselves: they are what
 * undoes an order of a paused holder that woke, at an engine that doesn't check.
 *
 * @internal
 */
export class ServicePlacement {
  private readonly table: EngineTable;

  private readonly sender: OrderSender;

  private readonly wakeup: Wakeup;

  private readonly lookQueue: PQueue;

  private readonly orderQueue: PQueue;

  private readonly stopListening: () => void;

  private readonly running: Promise<void>;

  private configuration: Configuration | undefined;

  private desired: DesiredPlacement = NOTHING;

  /** The number under which the table was filled; undefined while the lease isn't held. */
  private fencingNumber: number | undefined;

  private disposed = false;

  constructor(private readonly settings: ServiceSettings) {
    const { clock, options } = settings;
    this.table = new EngineTable(options);
    this.sender = new OrderSender(settings, this.table);
    this.wakeup = new Wakeup(clock);
    this.lookQueue = new PQueue({ concurrency: options.observeConcurrency });
    this.orderQueue = new PQueue({ concurrency: options.orderConcurrency });
    this.stopListening = settings.lease.onChange(() => this.wakeup.wake());
    this.running = this.run();
  }

  /** Looks at the configuration again now. */
  handleConfigurationChange(): void {
    this.wakeup.wake();
  }

  /** Looks at an engine soon: someone found it without a model it should have. */
  lookSoon(replica: string): void {
    this.table.lookSoon(replica, this.settings.clock.now());
    this.wakeup.wake();
  }

  /** The number this daemon gives orders under; undefined when it doesn't hold the lease. */
  getFencingNumber(): number | undefined {
    return this.settings.lease.getFencingNumber();
  }

  /** Ends the rounds, waits for the orders under way and gives the lease up. */
  async release(): Promise<void> {
    this.stop();
    await this.running;
    await this.settings.lease.release();
    this.followLease();
  }

  /** Ends the rounds; the lease runs out by itself. */
  dispose(): void {
    this.stop();
    this.settings.lease.dispose();
  }

  private stop(): void {
    this.disposed = true;
    this.stopListening();
    this.wakeup.wake();
  }

  private async run(): Promise<void> {
    while (!this.disposed) {
      this.followLease();
      // Rounds are in sequence: each plans on what the one before it found.
      // eslint-disable-next-line no-await-in-loop
      const next = this.fencingNumber === undefined ? Number.POSITIVE_INFINITY : await this.round();
      if (!this.disposed) {
        // eslint-disable-next-line no-await-in-loop
        await this.wakeup.wait(next);
      }
    }
  }

  /** Starts from nothing when the lease was gained: what was known before may be out of date. */
  private followLease(): void {
    const { clock, lease, loads, service, onDecision } = this.settings;
    const fencingNumber = lease.getFencingNumber();
    const at = clock.now();
    if (fencingNumber === this.fencingNumber) {
      return;
    }
    this.fencingNumber = fencingNumber;
    if (fencingNumber === undefined) {
      onDecision({ kind: 'lease-lost', at, service });
      return;
    }
    // The holder before this one may have used up the weight store's rate until now.
    loads.drain(at);
    this.table.reset(this.desired.engines.keys(), at);
    onDecision({ kind: 'lease-gained', at, service, fencingNumber });
  }

  /** @returns when the next round is due */
  private async round(): Promise<Milliseconds> {
    const { clock, lease } = this.settings;
    this.followConfiguration();
    await this.lookAtDue();
    const isCurrent = lease.getFencingNumber() === this.fencingNumber;
    if (!isCurrent || this.disposed || !this.table.isComplete()) {
      return this.getNextLook();
    }
    const orders = this.plan();
    const sent = await this.sendAll(orders);
    if (sent.includes(true)) {
      return clock.now();
    }
    const isLoadWaiting = orders.some(({ order }) => order.kind === 'load');
    const loadAt = this.settings.loads.getNextAt(clock.now());
    return isLoadWaiting ? Math.min(this.getNextLook(), loadAt) : this.getNextLook();
  }

  private followConfiguration(): void {
    const { clock, getConfiguration, onDecision, options, service } = this.settings;
    const configuration = getConfiguration();
    if (configuration === this.configuration || configuration === undefined) {
      return;
    }
    const at = clock.now();
    const earlier = this.desired;
    this.configuration = configuration;
    this.desired = getDesiredPlacement(configuration, service, options);
    this.table.track(this.desired.engines.keys(), at);
    this.desired.engines.forEach((wanted, id) => {
      if (JSON.stringify(wanted) !== JSON.stringify(earlier.engines.get(id))) {
        this.table.lookSoon(id, at);
      }
    });
    this.desired.unversioned.forEach((model) => {
      onDecision({ kind: 'model-unversioned', at, service, model });
    });
  }

  private plan(): PlannedOrder[] {
    if (!this.table.hasMismatch()) {
      return [];
    }
    const { clock, options } = this.settings;
    const now = clock.now();
    const share = Math.floor(this.desired.engines.size * options.changingShare);
    return new PlacementPlanner({
      desired: this.desired,
      observed: this.table.getObserved(),
      busy: this.table.getBusy(now),
      resting: this.table.getResting(now),
      changingAtMost: Math.max(1, share),
    }).getOrders();
  }

  /** @returns for each order, whether it was sent */
  private async sendAll(orders: PlannedOrder[]): Promise<boolean[]> {
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

  /** Looks at engines as far as the daemon's budget goes; the rest stay due. */
  private async lookAtDue(): Promise<void> {
    const { clock, looks } = this.settings;
    const due = this.table.getDue(clock.now()).filter(() => looks.take(clock.now()));
    await Promise.all(
      due
        .map((id) => this.desired.engines.get(id)?.replica)
        .filter((replica) => replica !== undefined)
        .map((replica) => this.lookQueue.add(() => this.look(replica))),
    );
  }

  private async look(replica: Replica): Promise<void> {
    const { clock, engines, lease, onDecision, service } = this.settings;
    if (this.disposed) {
      return;
    }
    const { id, checksFencing } = replica;
    const before = this.table.getState(id);
    try {
      const state = await engines.observe(replica);
      const at = clock.now();
      this.table.takeState(id, state, isConverged(this.desired, id, state), at);
      if (before === undefined) {
        onDecision({ kind: 'engine-met', at, service, replica: id, checksFencing });
      }
      lease.reportFenced(state.highestFencingNumber);
    } catch (error) {
      const at = clock.now();
      if (this.table.takeFailure(id, at)) {
        onDecision({ kind: 'engine-unreachable', at, service, replica: id, error: error as Error });
      }
    }
  }

  /**
   * Looks come in batches, a second apart: with engines due one by one, each round would go through
   * the whole table for a single look.
   */
  private getNextLook(): Milliseconds {
    const { clock, options } = this.settings;
    return Math.max(this.table.getNextDue(), clock.now() + options.observeChanging);
  }
}
