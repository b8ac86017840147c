import type { Configuration } from '@apricotrill/model';
import type { ManualClock, Milliseconds, Random } from '@apricotrill/utils';
import { SimulatedLink, PausableClock } from '@apricotrill/standins';
import { PlacementManager } from '../lib/PlacementManager/PlacementManager.js';
import type { EngineClient } from '../lib/EngineClient/EngineClient.js';
import type { PlacementEvent } from '../lib/PlacementEvent.js';
import type { PlacementOptions } from '../lib/placementOptions.js';
import type { FakeEngine } from './FakeEngine.js';
import type { FakeStore } from './FakeStore.js';

/** What the simulated daemons share. */
export interface DaemonEnvironment {
  clock: ManualClock;
  store: FakeStore;
  engines: Map<string, FakeEngine>;
  events: (PlacementEvent & { daemon: string })[];
  random: Random;
  options: PlacementOptions;
  getDelay: () => Milliseconds;
  configuration: Configuration;
}

/** A daemon with its own clock and its own view of the configuration. */
export class Daemon {
  readonly clock: PausableClock;

  manager: PlacementManager;

  configuration: Configuration;

  private readonly link: SimulatedLink;

  constructor(
    readonly id: string,
    private readonly environment: DaemonEnvironment,
  ) {
    this.clock = new PausableClock(environment.clock);
    this.link = new SimulatedLink(environment.clock, this.clock, () => environment.getDelay());
    this.configuration = environment.configuration;
    this.manager = this.start();
  }

  restart(): void {
    this.manager.dispose();
    this.clock.resume();
    this.manager = this.start();
  }

  setConfiguration(configuration: Configuration): void {
    this.configuration = configuration;
    this.manager.handleConfigurationChange();
  }

  private start(): PlacementManager {
    const { environment } = this;
    return new PlacementManager({
      self: this.id,
      clock: this.clock,
      random: environment.random,
      store: environment.store.connect(this.link),
      engines: this.createEngines(),
      getConfiguration: () => this.configuration,
      getMembers: () => ['daemon-1', 'daemon-2', 'daemon-3'],
      options: environment.options,
      onEvent: (event) => {
        if (event.kind === 'fault') {
          throw event.error;
        }
        environment.events.push({ ...event, daemon: this.id });
      },
    });
  }

  private createEngines(): EngineClient {
    const { engines, options } = this.environment;
    const { observeTimeout, orderTimeout } = options;
    return {
      observe: ({ id }) => this.link.call(observeTimeout, () => engines.get(id)!.observe()),
      order: ({ id }, order) =>
        this.link.call(orderTimeout, () => engines.get(id)!.order(order, this.id)),
    };
  }
}
