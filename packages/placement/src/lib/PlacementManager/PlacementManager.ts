import { getLeaseRank, LeaseManager } from '@apricotrill/lease';
import type { Configuration } from '@apricotrill/model';
import type { PlatformStore } from '@apricotrill/store';
import type { Clock, Random, Timer } from '@apricotrill/utils';
import { defaultPlacementOptions } from '../placementOptions.js';
import { ServicePlacement } from '../ServicePlacement/ServicePlacement.js';
import { TokenBucket } from '../TokenBucket/TokenBucket.js';
import { getLoadRates } from './getLoadRates.js';
import type { EngineClient } from '../EngineClient/EngineClient.js';
import type { PlacementListener } from '../PlacementEvent.js';
import type { PlacementOptions } from '../placementOptions.js';

/**
 * Constructor arguments of {@link PlacementManager}.
 *
 * @public
 */
export interface PlacementSettings {
  /** This daemon's id. */
  self: string;
  clock: Clock;
  random: Random;
  store: PlatformStore;
  engines: EngineClient;
  /** The configuration in force at this daemon; the same object until it changes. */
  getConfiguration: () => Configuration | undefined;
  /** The ids of the live daemons, over which leases are distributed; only this daemon if absent. */
  getMembers?: () => readonly string[];
  options?: PlacementOptions;
  /** Receives each event, for the log. */
  onEvent: PlacementListener;
}

interface ManagedService {
  placement: ServicePlacement;
  loadBudget: TokenBucket;
}

const INCARNATION_RANGE = 2 ** 32;

/**
 * Brings the engines of every model service to the state that the configuration requires. Each
 * service is managed under its own lease `leases/placement-<service>`. The three daemons that
 * rendezvous hashing prefers for the service are candidates for its lease.
 *
 * @example
 * ```ts
 * const placement = new PlacementManager({
 *   self, clock, random, store, engines, getConfiguration, getMembers, onEvent,
 * });
 * // on shutdown, so that the next holder need not wait for the leases to expire
 * await placement.release();
 * ```
 * @public
 */
export class PlacementManager {
  private readonly services = new Map<string, ManagedService>();

  private readonly options: PlacementOptions;

  private readonly incarnation: string;

  private readonly observationBudget: TokenBucket;

  private configuration: Configuration | undefined;

  private checkTimer: Timer | undefined;

  private leaseCount = 0;

  private disposed = false;

  constructor(private readonly settings: PlacementSettings) {
    const { clock, random } = settings;
    this.options = settings.options ?? defaultPlacementOptions;
    this.incarnation = `${clock.now()}-${random.integer(INCARNATION_RANGE)}`;
    const { observationBurst, observationsPerSecond } = this.options;
    const rateLimits = { tokensPerSecond: observationsPerSecond, capacity: observationBurst };
    this.observationBudget = new TokenBucket(
      { ...rateLimits, initialTokens: observationBurst },
      clock.now(),
    );
    this.checkConfiguration();
  }

  /** Applies a changed configuration at once; otherwise it is noticed within about a second. */
  handleConfigurationChange(): void {
    const configuration = this.settings.getConfiguration();
    if (this.disposed || configuration === undefined || configuration === this.configuration) {
      return;
    }
    this.configuration = configuration;
    this.syncServices(configuration);
    this.services.forEach(({ placement }) => placement.handleConfigurationChange());
  }

  /**
   * Observes an engine soon, for instance after it reported that a model is missing. Has no effect
   * on a daemon that does not hold the service's lease.
   */
  observeSoon(service: string, replica: string): void {
    this.services.get(service)?.placement.observeSoon(replica);
  }

  /** The fencing number under which this daemon holds a service's lease, if it does. */
  getFencingNumber(service: string): number | undefined {
    return this.services.get(service)?.placement.getFencingNumber();
  }

  /** Stops managing all services: waits for orders in flight, then releases the leases. */
  async release(): Promise<void> {
    this.stop();
    const releases = [...this.services.values()].map(({ placement }) => placement.release());
    await Promise.all(releases);
    this.dispose();
  }

  /** Stops at once without releasing the leases, which then expire. */
  dispose(): void {
    this.stop();
    this.services.forEach(({ placement }) => placement.dispose());
    this.services.clear();
  }

  private stop(): void {
    this.disposed = true;
    this.checkTimer?.cancel();
  }

  private checkConfiguration(): void {
    this.handleConfigurationChange();
    const { observeChanging } = this.options;
    this.checkTimer = this.settings.clock.setTimer(observeChanging, () =>
      this.checkConfiguration(),
    );
  }

  private syncServices(configuration: Configuration): void {
    const rates = getLoadRates(configuration, this.options.loadsPerSecond);
    this.services.forEach(({ placement }, name) => {
      if (!rates.has(name)) {
        this.services.delete(name);
        placement.release().finally(() => placement.dispose());
      }
    });
    const now = this.settings.clock.now();
    rates.forEach((rate, name) => {
      const service = this.services.get(name) ?? this.createService(name);
      service.loadBudget.setRate(rate, now);
      this.services.set(name, service);
    });
  }

  private createService(service: string): ManagedService {
    const { clock, engines, getConfiguration, onEvent } = this.settings;
    const loadBudget = new TokenBucket(
      { tokensPerSecond: 1, capacity: 1, initialTokens: 0 },
      clock.now(),
    );
    const placement = new ServicePlacement({
      service,
      clock,
      lease: this.createLease(service),
      engines,
      getConfiguration,
      options: this.options,
      observationBudget: this.observationBudget,
      loadBudget,
      onEvent,
    });
    return { placement, loadBudget };
  }

  private createLease(service: string): LeaseManager {
    const { self, clock, store, getMembers, onEvent } = this.settings;
    const name = `placement-${service}`;
    const options = this.options.lease;
    // A service that is removed and added again contends with its old lease while that is released.
    this.leaseCount += 1;
    const incarnation = `${this.incarnation}-${this.leaseCount}`;
    const getRank = () => getLeaseRank(name, self, getMembers?.() ?? [], options.maxCandidates);
    const onFault = (error: unknown) => onEvent({ kind: 'fault', at: clock.now(), service, error });
    return new LeaseManager({ self, clock, store, name, options, incarnation, getRank, onFault });
  }
}
