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
 * What placement needs around it.
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
  /** The configuration in force at this daemon; the same object until another is in force. */
  getConfiguration: () => Configuration | undefined;
  /** The ids of the live daemons, over which duties spread; this daemon alone when absent. */
  getMembers?: () => readonly string[];
  options?: PlacementOptions;
  /** Told each decision, for its log line. */
  onEvent: PlacementListener;
}

interface Duty {
  placement: ServicePlacement;
  loads: TokenBucket;
}

const INCARNATIONS = 2 ** 32;

/**
 * Brings the engines of every model service to the state the configuration in force wants. Each
 * service is a duty of its own with its own lease `leases/placement-<service>`; the three daemons
 * that rendezvous hashing prefers for it stand by.
 *
 * @example
 * ```ts
 * const placement = new PlacementManager({
 *   self, clock, random, store, engines, getConfiguration, getMembers, onDecision,
 * });
 * // on shutdown, so that the next holder need not wait for the leases to run out
 * await placement.release();
 * ```
 * @public
 */
export class PlacementManager {
  private readonly duties = new Map<string, Duty>();

  private readonly options: PlacementOptions;

  private readonly incarnation: string;

  private readonly looks: TokenBucket;

  private configuration: Configuration | undefined;

  private checkTimer: Timer | undefined;

  private leases = 0;

  private disposed = false;

  constructor(private readonly settings: PlacementSettings) {
    const { clock, random } = settings;
    this.options = settings.options ?? defaultPlacementOptions;
    this.incarnation = `${clock.now()}-${random.integer(INCARNATIONS)}`;
    const { observationBurst, observationsPerSecond } = this.options;
    const limits = { perSecond: observationsPerSecond, capacity: observationBurst };
    this.looks = new TokenBucket({ ...limits, initial: observationBurst }, clock.now());
    this.check();
  }

  /** Looks at the configuration at once; without this call it is noticed within a second or so. */
  handleConfigurationChange(): void {
    const configuration = this.settings.getConfiguration();
    if (this.disposed || configuration === undefined || configuration === this.configuration) {
      return;
    }
    this.configuration = configuration;
    this.syncDuties(configuration);
    this.duties.forEach(({ placement }) => placement.handleConfigurationChange());
  }

  /**
   * Has an engine looked at soon, for instance when it answered that it lacks a model. Harmless at
   * a daemon that doesn't hold the service's lease.
   */
  lookSoon(service: string, replica: string): void {
    this.duties.get(service)?.placement.lookSoon(replica);
  }

  /** Whether this daemon holds the duty for a service, and under which number. */
  getFencingNumber(service: string): number | undefined {
    return this.duties.get(service)?.placement.getFencingNumber();
  }

  /** Ends all duties in good order: orders under way are waited for, then the leases are released. */
  async release(): Promise<void> {
    this.stop();
    const releases = [...this.duties.values()].map(({ placement }) => placement.release());
    await Promise.all(releases);
    this.dispose();
  }

  /** Ends all duties at once; the leases run out by themselves. */
  dispose(): void {
    this.stop();
    this.duties.forEach(({ placement }) => placement.dispose());
    this.duties.clear();
  }

  private stop(): void {
    this.disposed = true;
    this.checkTimer?.cancel();
  }

  private check(): void {
    this.handleConfigurationChange();
    const { observeChanging } = this.options;
    this.checkTimer = this.settings.clock.setTimer(observeChanging, () => this.check());
  }

  private syncDuties(configuration: Configuration): void {
    const rates = getLoadRates(configuration, this.options.loadsPerSecond);
    this.duties.forEach(({ placement }, name) => {
      if (!rates.has(name)) {
        this.duties.delete(name);
        placement.release().finally(() => placement.dispose());
      }
    });
    const now = this.settings.clock.now();
    rates.forEach((rate, name) => {
      const duty = this.duties.get(name) ?? this.createDuty(name);
      duty.loads.setRate(rate, now);
      this.duties.set(name, duty);
    });
  }

  private createDuty(service: string): Duty {
    const { clock, engines, getConfiguration, onEvent: onDecision } = this.settings;
    const loads = new TokenBucket({ perSecond: 1, capacity: 1, initial: 0 }, clock.now());
    const placement = new ServicePlacement({
      service,
      clock,
      lease: this.createLease(`placement-${service}`),
      engines,
      getConfiguration,
      options: this.options,
      looks: this.looks,
      loads,
      onDecision,
    });
    return { placement, loads };
  }

  private createLease(name: string): LeaseManager {
    const { self, clock, store, getMembers } = this.settings;
    const options = this.options.lease;
    // A service that is removed and comes back contends with its own lease that is being released.
    this.leases += 1;
    const incarnation = `${this.incarnation}-${this.leases}`;
    const getRank = () => getLeaseRank(name, self, getMembers?.() ?? [], options.candidates);
    return new LeaseManager({ self, clock, store, name, options, incarnation, getRank });
  }
}
