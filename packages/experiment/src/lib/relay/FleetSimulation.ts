import { ManualClock, createRandom, getHash } from '@apricotrill/utils';
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
import { DaemonSimulation, SimulatedPath } from './DaemonSimulation.js';
import { EngineSimulation } from './EngineSimulation.js';
import type { EngineCounts } from './EngineSimulation.js';
import { MachineNoise } from './MachineNoise.js';
import type { RelayDeployment } from './RelayDeployment.js';
import type { SimulatedCall } from './SimulatedCall.js';
import { createCrashingCalls, hasCrashingPart } from './createCrashingCalls.js';
import { createSimulatedCalls } from './createSimulatedCalls.js';

/** Cache events reach the daemons in batches, one per interval. */
const CACHE_EVENT_INTERVAL: Milliseconds = 400;

/** Number of daemons that follow the cache events of one engine. */
const CACHE_LISTENERS = 12;

/** How often a daemon sends the list of its attempts in flight to its peers. */
const ATTEMPT_LIST_INTERVAL: Milliseconds = 1_000;

/** Time after the last arrival in which responses may still complete. */
const DRAIN_TIME: Milliseconds = 12_000;

/** Results of a simulated day. */
export interface FleetResult {
  calls: SimulatedCall[];
  counts: EngineCounts;
  /** Prompt tokens that were sent to another availability zone. */
  crossZoneTokens: number;
}

function getDaemonName(index: number): string {
  return `d${index}`;
}

function getZone(index: number, zones: number): string {
  return `z${index % zones}`;
}

function createReplicas({
  engineSlowdowns,
  engineVersions = ['v1'],
  applications,
  availabilityZones,
}: RelayDeployment) {
  const create = (service: string, index: number, slots: number): RelayReplica => ({
    id: `${service}-${index}`,
    name: `${service}-${index}`,
    service,
    address: '127.0.0.1:1',
    softwareVersion: engineVersions[index % engineVersions.length]!,
    availabilityZone: getZone(index, availabilityZones),
    slots,
    isDraining: false,
    warmupLeft: 0,
  });
  return {
    engines: (slots: number) =>
      engineSlowdowns.map((_slowdown, index) => create('engines', index, slots)),
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
 * Simulates a day of a deployment on a virtual clock. Each daemon runs the production placement core;
 * the engines, services, callers and the network between them are models.
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

  private crossZoneTokens = 0;

  /** Times at which engines crashed on a part of a prompt. */
  readonly crashTimes: Milliseconds[] = [];

  /** Times at which calls with that part were sent to engines. */
  readonly crashingSends: Milliseconds[] = [];

  /** Number of updates between daemons, by kind. */
  readonly sentUpdates = new Map<PlacementUpdate['kind'], number>();

  constructor(
    private readonly deployment: RelayDeployment,
    private readonly seed: number,
    private readonly options: Partial<PlacementOptions> = {},
    /** Kinds of updates between daemons that are lost. */
    private readonly lostUpdates: ReadonlySet<PlacementUpdate['kind']> = new Set(),
  ) {}

  run(): FleetResult {
    this.createFleet();
    const calls = this.createCalls();
    calls.forEach((call) => {
      this.clock.setTimer(call.arrivedAt, () => this.daemons[call.daemon]!.submit(call));
    });
    this.deployment.crashes.forEach(({ startsAt, duration, engines }) => {
      this.clock.setTimer(startsAt, () => this.crashEngines(engines, duration));
    });
    this.scheduleNotices();
    this.scheduleCacheEvents();
    this.scheduleAttemptLists();
    this.clock.advance(this.deployment.duration + DRAIN_TIME);
    const totals = [...this.engines.values()].reduce(
      (sum, { counts }) => ({
        prefilledTokens: sum.prefilledTokens + counts.prefilledTokens,
        copiedTokens: sum.copiedTokens + counts.copiedTokens,
        preemptions: sum.preemptions + counts.preemptions,
        invertedPreemptions: sum.invertedPreemptions + counts.invertedPreemptions,
      }),
      { prefilledTokens: 0, copiedTokens: 0, preemptions: 0, invertedPreemptions: 0 },
    );
    return { calls, counts: totals, crossZoneTokens: this.crossZoneTokens };
  }

  private createCalls(): SimulatedCall[] {
    const { crashingPart, preference } = this.deployment;
    const sound = createSimulatedCalls(this.deployment, this.seed);
    const crashing =
      crashingPart === undefined ? [] : createCrashingCalls(crashingPart, this.deployment, sound);
    const calls = [...sound, ...crashing];
    if (preference === undefined) {
      return calls;
    }
    const { startsAt, duration, share, daemon } = preference;
    const random = createRandom(this.seed + 1);
    return calls.map((call) => {
      const isPreferred = random.next() < share;
      const isDuring = call.arrivedAt >= startsAt && call.arrivedAt < startsAt + duration;
      return isPreferred && isDuring ? Object.assign(call, { daemon }) : call;
    });
  }

  private createNoise(replica: string): MachineNoise | undefined {
    const { noise } = this.deployment;
    return noise === undefined
      ? undefined
      : new MachineNoise(noise, getHash(`${this.seed}/${replica}`));
  }

  private createFleet(): void {
    const { deployment, clock } = this;
    const { engines: parameters, engineSlowdowns, applications, availabilityZones } = deployment;
    const replicas = createReplicas(deployment);
    replicas.engines(parameters.slots).forEach((replica, index) => {
      this.replicas.set(replica.id, replica);
      const slowdown = engineSlowdowns[index]!;
      let current = replica;
      const onChange = (change: CacheChange) => this.recordCacheChange(current.id, change);
      const noise = this.createNoise(replica.id);
      const engine = new EngineSimulation(clock, parameters, slowdown, onChange, noise);
      engine.crashesOn = (prompt) => {
        if (!hasCrashingPart({ prompt })) {
          return false;
        }
        this.crashOnPart(current, (successor) => {
          current = successor;
        });
        return true;
      };
      this.engines.set(replica.id, engine);
    });
    replicas.applications.forEach((replica) => {
      this.replicas.set(replica.id, replica);
      const application = new ApplicationSimulation(
        clock,
        applications.slots,
        this.createNoise(replica.id),
      );
      this.applications.set(replica.id, application);
    });
    const services = createServices(deployment);
    for (let index = 0; index < deployment.daemons; index += 1) {
      const zone = getZone(index, availabilityZones);
      const daemon = new DaemonSimulation({
        clock,
        name: getDaemonName(index),
        zone,
        environment: this,
        createCore: (emit: (effect: PlacementEffect) => void) =>
          new PlacementCore({
            clock,
            emit,
            options: { availabilityZone: zone, ...this.options },
          }),
        sendUpdate: (update, to) => this.sendUpdate(index, update, to),
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

  /** One-way network delay between a daemon and a replica. */
  getDelay(zone: string, { availabilityZone }: RelayReplica): Milliseconds {
    return zone === availabilityZone ? 0.1 : this.deployment.crossZoneDelay;
  }

  /** How attempts of a daemon get to the replicas at the moment. */
  getPath(daemon: string): SimulatedPath {
    const { partition } = this.deployment;
    const isPartitioned =
      partition !== undefined &&
      this.daemons.findIndex(({ name }) => name === daemon) < partition.daemons;
    const since = this.clock.now() - (partition?.startsAt ?? 0);
    if (!isPartitioned || since < 0 || since >= partition.duration) {
      return SimulatedPath.Direct;
    }
    return partition.detection !== undefined && since >= partition.detection
      ? SimulatedPath.Forwarded
      : SimulatedPath.None;
  }

  recordSend(zone: string, { availabilityZone }: RelayReplica, call: SimulatedCall): void {
    if (hasCrashingPart(call)) {
      this.crashingSends.push(this.clock.now());
    }
    if (zone !== availabilityZone) {
      this.crossZoneTokens += call.prompt?.inputTokens ?? 0;
    }
  }

  findEngine(id: string): EngineSimulation | undefined {
    return this.engines.get(id);
  }

  findApplication(id: string): ApplicationSimulation | undefined {
    return this.applications.get(id);
  }

  private sendUpdate(from: number, update: PlacementUpdate, to: string | undefined): void {
    if (this.lostUpdates.has(update.kind)) {
      return;
    }
    this.sentUpdates.set(update.kind, (this.sentUpdates.get(update.kind) ?? 0) + 1);
    this.clock.setTimer(this.deployment.crossZoneDelay, () => {
      this.daemons.forEach((daemon, index) => {
        if (index !== from && (to === undefined || to === getDaemonName(index))) {
          daemon.handlePeerUpdate(getDaemonName(from), update);
        }
      });
    });
  }

  /** Sends each daemon's list of attempts in flight to its peers, once per interval. */
  private scheduleAttemptLists(): void {
    this.clock.setTimer(ATTEMPT_LIST_INTERVAL, () => {
      this.daemons.forEach((daemon, from) => {
        this.daemons.forEach((_other, index) => {
          const to = getDaemonName(index);
          this.sendUpdate(
            from,
            { kind: 'attempt-list', attempts: daemon.getSharedAttempts(to) },
            to,
          );
        });
      });
      this.scheduleAttemptLists();
    });
  }

  private recordCacheChange(engine: string, change: CacheChange): void {
    const changes = this.pendingChanges.get(engine) ?? [];
    changes.push(change);
    this.pendingChanges.set(engine, changes);
  }

  /** Delivers the pending cache events to the daemons that follow the engine, once per interval. */
  private scheduleCacheEvents(): void {
    this.clock.setTimer(CACHE_EVENT_INTERVAL, () => {
      this.engines.forEach((_engine, replica) => {
        const changes = this.pendingChanges.get(replica) ?? [];
        this.daemons
          .filter((daemon) => daemon.isFollowing(replica))
          .forEach((daemon) => daemon.handle({ kind: 'cache-changed', replica, changes }));
      });
      this.pendingChanges.clear();
      this.scheduleCacheEvents();
    });
  }

  /** Lets engines ask for backoffs, and the first one announce that it leaves. */
  private scheduleNotices(): void {
    const { backoffs = [], firstEngineLeavesAt } = this.deployment;
    const engines = [...this.engines.values()];
    backoffs.forEach(({ startsAt, duration, engines: count, span }) => {
      const backedOff = engines.slice(0, count);
      const setBackoff = (requestedBackoff: Milliseconds | undefined) =>
        backedOff.forEach((engine) => Object.assign(engine, { requestedBackoff }));
      this.clock.setTimer(startsAt, () => setBackoff(span));
      this.clock.setTimer(startsAt + duration, () => setBackoff(undefined));
    });
    if (firstEngineLeavesAt !== undefined) {
      this.clock.setTimer(firstEngineLeavesAt, () =>
        Object.assign(engines[0]!, { isLeaving: true }),
      );
    }
  }

  /** Crashes an engine; another one starts at its address some seconds later. */
  private crashOnPart(replica: RelayReplica, onReplaced: (successor: RelayReplica) => void): void {
    const engine = this.engines.get(replica.id)!;
    const successor = { ...replica, id: `${replica.name}.${this.crashTimes.length}` };
    this.crashTimes.push(this.clock.now());
    engine.crash();
    this.pendingChanges.delete(replica.id);
    this.clock.setTimer(this.deployment.crashingPart!.restartTime, () => {
      onReplaced(successor);
      this.engines.set(successor.id, engine);
      Object.assign(engine, { isDown: false });
      this.replicas.delete(replica.id);
      this.replicas.set(successor.id, successor);
      this.daemons.forEach((daemon) =>
        daemon.handle({ kind: 'replicas', replicas: [...this.replicas.values()] }),
      );
    });
  }

  private crashEngines(count: number, duration: Milliseconds): void {
    const ids = [...this.engines.keys()].slice(0, count);
    ids.forEach((id) => {
      this.engines.get(id)!.crash();
      this.pendingChanges.delete(id);
      this.daemons.forEach((daemon) => daemon.handle({ kind: 'cache-lost', replica: id }));
      this.clock.setTimer(duration, () => {
        Object.assign(this.engines.get(id)!, { isDown: false });
        this.daemons.forEach((daemon) =>
          daemon.handle({ kind: 'health', replica: id, isHealthy: true }),
        );
      });
    });
  }
}
