import { ServiceKind } from '@apricotrill/model';
import { createRandom, ManualClock } from '@apricotrill/utils';
import type { Configuration, Replica } from '@apricotrill/model';
import type { Milliseconds, Random } from '@apricotrill/utils';
import { advanceClock, flushTasks } from '@apricotrill/standins';
import { defaultPlacementOptions } from '../lib/placementOptions.js';
import { Daemon } from './Daemon.js';
import { FakeEngine } from './FakeEngine.js';
import { FakeStore } from './FakeStore.js';
import type { PlacementEvent } from '../lib/PlacementEvent.js';
import type { PlacementOptions } from '../lib/placementOptions.js';

export const harnessOptions = { ...defaultPlacementOptions, observeConverged: 10_000 };

/** The model names to keep loaded on each replica, by replica id. */
export type Placements = Record<string, string[]>;

/** The replica id starts with the service's name; odd replicas check fencing numbers. */
function createReplica([id, placement]: [string, string[]]): Replica {
  const [service, number] = id.split('-');
  const checksFencing = Number(number) % 2 === 1;
  const address = { availabilityZone: 'espoo', host: '127.0.0.1', port: 1, slots: 1 };
  return { id, service: service!, checksFencing, placement, ...address };
}

export function createConfiguration(placements: Placements): Configuration {
  const replicas = Object.entries(placements).map(createReplica);
  const names = [...new Set(replicas.map(({ service }) => service))];
  const costs = { costPerThousandTokens: 1, costPerRequest: 1 };
  const common = { kind: ServiceKind.Model, region: 'etela-suomi', models: [], ...costs };
  const services = names.map((name) => ({ name, ...common }));
  return {
    register: { services, replicas, workspaces: [] },
    rules: { classes: [], classRules: [] },
  };
}

/** Three daemons with a shared store, shared engines and a shared clock. */
export class PlacementHarness {
  readonly clock = new ManualClock(1_000_000);

  readonly store = new FakeStore();

  readonly weights = { rateLimitedUntil: 0 };

  readonly events: (PlacementEvent & { daemon: string })[] = [];

  readonly engines = new Map<string, FakeEngine>();

  readonly random: Random;

  readonly options: PlacementOptions;

  readonly daemons: Daemon[];

  configuration: Configuration;

  constructor(
    placements: Placements,
    public getDelay: () => Milliseconds = () => 5,
    loaded: Placements = {},
    options: Partial<PlacementOptions> = {},
  ) {
    this.options = { ...harnessOptions, ...options };
    this.random = createRandom(7);
    this.configuration = createConfiguration(placements);
    this.configuration.register.replicas.forEach((replica) => {
      const engine = new FakeEngine(replica, this.clock, this.weights, loaded[replica.id]);
      this.engines.set(replica.id, engine);
    });
    this.daemons = ['daemon-1', 'daemon-2', 'daemon-3'].map((id) => new Daemon(id, this));
  }

  /** Changes the configuration; each daemon receives it after a delay, unless it is outdated. */
  changePlacements(placements: Placements, getLag: () => Milliseconds = () => 0): void {
    const configuration = createConfiguration(placements);
    this.configuration = configuration;
    this.daemons.forEach((daemon) => {
      this.clock.setTimer(getLag(), () =>
        daemon.clock.run(
          () => this.configuration === configuration && daemon.setConfiguration(configuration),
        ),
      );
    });
  }

  async advance(span: Milliseconds): Promise<void> {
    await advanceClock(this.clock, span, () => this.checkHolders());
  }

  /** Advances the clock until a condition holds; fails after ten simulated minutes. */
  async advanceUntil(isReached: () => boolean): Promise<void> {
    const deadline = this.clock.now() + 600_000;
    await flushTasks();
    while (!isReached()) {
      if (!this.clock.runNext(deadline)) {
        throw new Error('condition not reached within ten simulated minutes');
      }
      // eslint-disable-next-line no-await-in-loop
      await flushTasks();
      this.checkHolders();
    }
  }

  getHolder(service: string): Daemon | undefined {
    return this.daemons.find(({ manager }) => manager.getFencingNumber(service) !== undefined);
  }

  getLoaded(): Placements {
    return Object.fromEntries(
      [...this.engines].map(([id, engine]) => [id, engine.getState().loaded]),
    );
  }

  /** Checks that no two daemons hold the same lease at the same time. */
  private checkHolders(): void {
    this.configuration.register.services.forEach(({ name }) => {
      const holders = this.daemons.filter(
        ({ manager }) => manager.getFencingNumber(name) !== undefined,
      );
      if (holders.length > 1) {
        throw new Error(`two holders of ${name} at ${this.clock.now()}`);
      }
    });
  }
}
