import { ManualClock } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import { PlacementCore } from '@apricotrill/relay';
import type {
  CacheChange,
  PlacementEffect,
  PlacementOptions,
  RelayReplica,
  RelayService,
  PlacementUpdate,
} from '@apricotrill/relay';
import { ApplicationSimulation } from './ApplicationSimulation.js';
import { DaemonSimulation } from './DaemonSimulation.js';
import { EngineSimulation } from './EngineSimulation.js';
import type { EngineCounts } from './EngineSimulation.js';
import type { RelayDeployment } from './RelayDeployment.js';
import type { SimulatedCall } from './SimulatedCall.js';
import { createSimulatedCalls } from './createSimulatedCalls.js';

/** Cache events reach the daemons in groups, this far apart. */
const CACHE_INTERVAL: Milliseconds = 400;

/** Listeners that one engine tells of its cache. */
const CACHE_LISTENERS = 12;

/** How often a daemon tells the others of all that it has under way. */
const REGULAR_MESSAGE: Milliseconds = 1_000;

/** The time after the last arrival in which answers may still come. */
const TAIL: Milliseconds = 12_000;

/** What a day came to. */
export interface FleetResult {
  calls: SimulatedCall[];
  counts: EngineCounts;
  /** Bytes of prompts that went to another zone. */
  crossingBytes: number;
}

function getDaemonName(index: number): string {
  return `d${index}`;
}

function getZone(index: number, zones: number): string {
  return `z${index % zones}`;
}

function createReplicas({ engineFactors, applications, availabilityZones }: RelayDeployment) {
  const create = (service: string, index: number, slots: number): RelayReplica => ({
    id: `${service}-${index}`,
    name: `${service}-${index}`,
    service,
    address: '127.0.0.1:1',
    availabilityZone: getZone(index, availabilityZones),
    slots,
    isDraining: false,
    warmupLeft: 0,
  });
  return {
    engines: (slots: number) =>
      engineFactors.map((_factor, index) => create('engines', index, slots)),
    applications: Array.from({ length: applications.replicas }, (_item, index) =>
      create('application', index, applications.slots),
    ),
  };
}

function createServices({ engines }: RelayDeployment): RelayService[] {
  const shared = { healthPath: '/health', maxConnections: 1_000 };
  return [
    {
      ...shared,
      name: 'engines',
      engine: {
        slots: engines.slots,
        memoryTokens: engines.memoryTokens,
        cacheListeners: CACHE_LISTENERS,
        eventTokens: engines.eventTokens,
        copyTime: engines.copyTime,
      },
    },
    { ...shared, name: 'application' },
  ];
}

/**
 * Plays a day of a deployment on a virtual clock: the decisions are those of the daemons' own
 * placement core, one for each daemon; engines, services, callers and what lies between are models.
 *
 * @example
 * ```ts
 * const { calls } = new FleetSimulation(deployment, 1).run();
 * ```
 */
export class FleetSimulation {
  private readonly clock = new ManualClock();

  private readonly engines = new Map<string, EngineSimulation>();

  private readonly applications = new Map<string, ApplicationSimulation>();

  private readonly daemons: DaemonSimulation[] = [];

  private readonly replicas = new Map<string, RelayReplica>();

  private readonly pendingChanges = new Map<string, CacheChange[]>();

  private crossingBytes = 0;

  constructor(
    private readonly deployment: RelayDeployment,
    private readonly seed: number,
    private readonly options: Partial<PlacementOptions> = {},
  ) {}

  run(): FleetResult {
    this.build();
    const calls = createSimulatedCalls(this.deployment, this.seed);
    calls.forEach((call) => {
      this.clock.setTimer(call.arrived, () => this.daemons[call.daemon]!.submit(call));
    });
    this.deployment.crashes.forEach(({ at, span, engines }) => {
      this.clock.setTimer(at, () => this.crash(engines, span));
    });
    this.tellCaches();
    this.tellAll();
    this.clock.advance(this.deployment.length + TAIL);
    const counts = [...this.engines.values()].reduce(
      (sum, { counts: of }) => ({
        read: sum.read + of.read,
        copied: sum.copied + of.copied,
        preempted: sum.preempted + of.preempted,
      }),
      { read: 0, copied: 0, preempted: 0 },
    );
    return { calls, counts, crossingBytes: this.crossingBytes };
  }

  private build(): void {
    const { deployment, clock } = this;
    const { engines: traits, engineFactors, applications, availabilityZones } = deployment;
    const replicas = createReplicas(deployment);
    replicas.engines(traits.slots).forEach((replica, index) => {
      this.replicas.set(replica.id, replica);
      const onChange = (change: CacheChange) => this.noteChange(replica.id, change);
      const factor = engineFactors[index]!;
      this.engines.set(replica.id, new EngineSimulation(clock, traits, factor, onChange));
    });
    replicas.applications.forEach((replica) => {
      this.replicas.set(replica.id, replica);
      this.applications.set(replica.id, new ApplicationSimulation(clock, applications.slots));
    });
    const services = createServices(deployment);
    for (let index = 0; index < deployment.daemons; index += 1) {
      const zone = getZone(index, availabilityZones);
      const daemon = new DaemonSimulation({
        clock,
        zone,
        world: this,
        createCore: (emit: (effect: PlacementEffect) => void) =>
          new PlacementCore({
            clock,
            emit,
            options: { availabilityZone: zone, ...this.options },
          }),
        tellOthers: (news, to) => this.tellOthers(index, news, to),
      });
      daemon.handle({ kind: 'services', services });
      daemon.handle({ kind: 'replicas', replicas: [...this.replicas.values()] });
      this.daemons.push(daemon);
    }
    const daemons = this.daemons.map((_daemon, index) => getDaemonName(index));
    this.daemons.forEach((daemon, index) =>
      daemon.handle({ kind: 'fleet', self: getDaemonName(index), daemons }),
    );
  }

  /** One way between a daemon and a replica. */
  getDelay(zone: string, { availabilityZone }: RelayReplica): Milliseconds {
    return zone === availabilityZone ? 0.1 : this.deployment.crossing;
  }

  noteSent(zone: string, { availabilityZone }: RelayReplica, call: SimulatedCall): void {
    if (zone !== availabilityZone) {
      this.crossingBytes += call.prompt?.inputTokens ?? 0;
    }
  }

  findEngine(id: string): EngineSimulation | undefined {
    return this.engines.get(id);
  }

  findApplication(id: string): ApplicationSimulation | undefined {
    return this.applications.get(id);
  }

  private tellOthers(from: number, news: PlacementUpdate, to: string | undefined): void {
    this.clock.setTimer(this.deployment.crossing, () => {
      this.daemons.forEach((daemon, index) => {
        if (index !== from && (to === undefined || to === getDaemonName(index))) {
          daemon.hear(getDaemonName(from), news);
        }
      });
    });
  }

  /** Tells all that each daemon has under way, again and again. */
  private tellAll(): void {
    this.clock.setTimer(REGULAR_MESSAGE, () => {
      this.daemons.forEach((daemon, from) => {
        this.daemons.forEach((_other, index) => {
          const to = getDaemonName(index);
          this.tellOthers(
            from,
            { kind: 'attempt-list', attempts: daemon.getSharedAttempts(to) },
            to,
          );
        });
      });
      this.tellAll();
    });
  }

  private noteChange(engine: string, change: CacheChange): void {
    const changes = this.pendingChanges.get(engine) ?? [];
    changes.push(change);
    this.pendingChanges.set(engine, changes);
  }

  private tellCaches(): void {
    this.clock.setTimer(CACHE_INTERVAL, () => {
      this.engines.forEach((_engine, replica) => {
        const changes = this.pendingChanges.get(replica) ?? [];
        this.daemons
          .filter((daemon) => daemon.isFollowing(replica))
          .forEach((daemon) => daemon.handle({ kind: 'cache-changed', replica, changes }));
      });
      this.pendingChanges.clear();
      this.tellCaches();
    });
  }

  private crash(count: number, span: Milliseconds): void {
    const ids = [...this.engines.keys()].slice(0, count);
    ids.forEach((id) => {
      this.engines.get(id)!.crash();
      this.pendingChanges.delete(id);
      this.daemons.forEach((daemon) => daemon.handle({ kind: 'cache-lost', replica: id }));
      this.clock.setTimer(span, () => {
        Object.assign(this.engines.get(id)!, { isDown: false });
        this.daemons.forEach((daemon) =>
          daemon.handle({ kind: 'health', replica: id, isHealthy: true }),
        );
      });
    });
  }
}
