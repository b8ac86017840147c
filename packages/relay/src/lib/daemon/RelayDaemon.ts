import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import { CallerServer } from '../callers/CallerServer/CallerServer.js';
import { createActiveConfiguration } from '../config/ActiveConfiguration.js';
import type { ActiveConfiguration } from '../config/ActiveConfiguration.js';
import type { RelayConfiguration, RelayReplica } from '../config/RelayConfiguration.js';
import type { PlacementMessage } from '../decide/messages.js';
import { PlacementCore } from '../decide/PlacementCore/PlacementCore.js';
import type { ObjectSource } from '../follow/StateFollower/ObjectSource.js';
import type { CacheSource } from '../follow/CacheFollower/CacheFollower.js';
import { FleetDuties } from '../duties/FleetDuties/FleetDuties.js';
import type { DutyParts } from '../duties/FleetDuties/FleetDuties.js';
import type { RelayLog } from '../observe/RelayEvent.js';
import type { RelayMetrics } from '../observe/RelayMetrics.js';
import type { RelayProtocol } from '../protocol/RelayProtocol.js';
import type { PeerDirectory, PeerEntry } from '../peers/PeerDirectory.js';
import { PeerLink } from '../peers/PeerLink/PeerLink.js';
import type { PeerUpdate } from '../peers/PeerUpdate.js';
import { StatusServer } from '../status/StatusServer.js';
import { UpstreamConnections } from '../upstream/UpstreamConnections/UpstreamConnections.js';
import { addDaemonGauges, addDutyGauges } from './addDaemonGauges.js';
import { EffectPerformer } from './EffectPerformer.js';
import { HealthChecks } from './HealthChecks/HealthChecks.js';
import type { HealthSource } from './HealthChecks/HealthChecks.js';
import type { RelaySettings } from './RelaySettings.js';
import type { QuarantineStore } from './QuarantineStore.js';
import { QuarantineSync } from './QuarantineSync/QuarantineSync.js';
import { ReplicaWatch } from './ReplicaWatch.js';
import { RequestIntake } from './RequestIntake.js';
import { shutdownOptions } from './shutdownOptions.js';
import { StoreLink } from './StoreLink.js';
import { waitAtMost } from './waitAtMost.js';

/** What a daemon is made of. */
export interface RelayDaemonParts {
  settings: RelaySettings;
  clock: Clock;
  random: Random;
  log: RelayLog;
  metrics: RelayMetrics;
  protocol: RelayProtocol;
  /** Holds the one object that is the configuration. */
  configurations: ObjectSource<RelayConfiguration>;
  replicas: ObjectSource<RelayReplica>;
  caches: CacheSource;
  health: HealthSource;
  peers: PeerDirectory;
  quarantine: QuarantineStore;
  /** Absent where the platform wants no duties carried out. */
  duties?: DutyParts;
}

/**
 * The relay's process: follows the store, takes callers' requests, and performs what the placement
 * core decides.
 *
 * @public
 */
export class RelayDaemon {
  private readonly parts: RelayDaemonParts;

  private settings: RelaySettings;

  private readonly core: PlacementCore;

  private readonly callers: CallerServer;

  private readonly status: StatusServer;

  private readonly connections: UpstreamConnections;

  private readonly watch: ReplicaWatch;

  private readonly checks: HealthChecks;

  private readonly link: PeerLink;

  private readonly store: StoreLink;

  private readonly intake: RequestIntake;

  private readonly quarantine: QuarantineSync;

  private readonly duties: FleetDuties | undefined;

  private readonly performer: EffectPerformer;

  private active: ActiveConfiguration | undefined;

  /** When the configuration came into force here. */
  private activeSince: Milliseconds | undefined;

  private hasReplicas = false;

  private isStopping = false;

  /** It takes no requests any more. */
  private isClosed = false;

  constructor(parts: RelayDaemonParts) {
    this.parts = parts;
    this.settings = parts.settings;
    const { clock, log, metrics, settings } = parts;
    const { id, availabilityZone, peers } = settings;
    const self = { id, availabilityZone, address: `${peers.host}:${peers.port}` };
    const { ratio, window, slack } = settings.retries;
    this.core = new PlacementCore({
      clock,
      emit: (effect) => this.performer.perform(effect),
      options: {
        retryRatio: ratio,
        retryWindow: window,
        retrySlack: slack,
        availabilityZone: settings.availabilityZone,
      },
    });
    this.connections = new UpstreamConnections(({ service }) =>
      metrics.connectionsOpened.inc({ service }),
    );
    const tell = (message: PlacementMessage) => this.core.handle(message);
    this.store = new StoreLink({ ...parts, self, changeBound: settings.changeBound });
    this.intake = new RequestIntake({
      ...parts,
      daemon: settings.id,
      connections: this.connections,
      tell,
      getActive: () => this.active,
      isClosed: () => this.isClosed,
      onSent: (service, tokens) => this.duties?.recordSent(service, tokens),
      onEnded: (attempt) => this.duties?.recordEnd(attempt),
      onRun: (workspace, at) => this.duties?.recordRunStart(workspace, at),
    });
    this.callers = new CallerServer({
      clock,
      onRequest: (request, response) => {
        this.intake.take(request, response).catch((error: unknown) => {
          log({ event: 'fault', step: 'take request', error: String(error) });
          response.destroy();
        });
      },
      onMalformed: (reason) => this.intake.noteMalformed(reason),
    });
    this.status = new StatusServer({
      isReady: () => this.isReady,
      readyPaths: settings.readyPaths,
      metrics,
      getDuties: () => this.duties?.status,
    });
    this.watch = new ReplicaWatch({ ...parts, tell });
    this.checks = new HealthChecks({
      clock,
      source: parts.health,
      tell,
      tryAcquireCheck: (replica) => this.core.tryAcquireCheck(replica),
    });
    this.quarantine = new QuarantineSync({ ...parts, store: parts.quarantine, tell });
    this.link = new PeerLink({
      self,
      clock,
      random: parts.random,
      log,
      directory: parts.peers,
      getSharedAttempts: () => this.core.getSharedAttempts(),
      getPeriodicUpdates: () => this.core.getPeriodicUpdates(),
      onUpdate: (peer, news) => this.hear(peer, news),
      onClockReading: (peer, sentAt) => this.duties?.recordClockReading(peer, sentAt),
      onPeerLost: (peer) => tell({ kind: 'peer-removed', peer }),
      onFleetChanged: (daemons) => {
        this.store.setFleet(daemons);
        this.duties?.setFleet(daemons);
        tell({ kind: 'fleet', self: id, daemons: daemons.map((daemon) => daemon.id) });
      },
      onDaemonCount: (daemons) => {
        this.watch.setDaemons(daemons);
        this.store.setDaemons(daemons);
        tell({ kind: 'daemons', count: daemons });
      },
      getStoreRevisions: () => this.store.lastChanges,
      onStoreRevisions: (changes) => this.store.noteChangesElsewhere(changes),
    });
    this.duties = this.createDuties(self);
    this.performer = this.createPerformer();
    this.addGauges();
  }

  /** Opens the ports and starts to follow the store. @returns the port for callers */
  async start(): Promise<number> {
    const { settings, log, configurations, replicas } = this.parts;
    await this.status.listen(settings.status.host, settings.status.port);
    if (settings.metrics !== undefined) {
      await this.status.listen(settings.metrics.host, settings.metrics.port);
    }
    await this.link.start();
    await this.store.listen(settings.peers.host, settings.peers.port);
    const port = await this.callers.listen(settings.callers.host, settings.callers.port);
    log({
      event: 'listening',
      callers: `${settings.callers.host}:${port}`,
      status: `${settings.status.host}:${settings.status.port}`,
    });
    this.quarantine.load().catch((error: unknown) => {
      log({ event: 'fault', step: 'load quarantine', error: String(error) });
    });
    this.store.follow('configuration', configurations, (items) => {
      items.forEach((configuration) => this.apply(configuration));
    });
    this.store.follow('replicas', replicas, (items, revision) => this.setReplicas(items, revision));
    return port;
  }

  /** Ends what is under way, and then itself; resolves when the process may exit. */
  async stop(signal: string): Promise<void> {
    const { clock, log } = this.parts;
    const { settings } = this;
    const started = clock.now();
    const end = started + settings.grace - shutdownOptions.reserve;
    this.isStopping = true;
    log({ event: 'stopping', signal, open: this.callers.openAnswers });
    this.callers.drain();
    await this.sleep(shutdownOptions.listenOn);
    this.isClosed = true;
    const census = await this.callers.stopListening();
    log({ event: 'port-closed', after: clock.now() - started, ...census });
    const unlisted = Promise.all([this.link.deregister(), this.duties?.stop()]);
    // Connections whose first request is on its way are waited for as well as open answers.
    while (this.callers.openConnections > 0 && clock.now() < end) {
      // eslint-disable-next-line no-await-in-loop
      await this.sleep(shutdownOptions.look);
    }
    await waitAtMost(unlisted, clock, end - clock.now());
    this.link.announceDeparture();
    log({
      event: 'stopped',
      after: clock.now() - started,
      cutOff: this.callers.openAnswers,
    });
    await waitAtMost(this.dispose(), clock, shutdownOptions.dispose);
  }

  /**
   * Takes over settings that were changed while it runs. Ports stay as they were opened.
   *
   * @returns the names of what changed
   */
  reload(settings: RelaySettings): string[] {
    const names = Object.keys(settings) as (keyof RelaySettings)[];
    const changed = names.filter(
      (name) => JSON.stringify(settings[name]) !== JSON.stringify(this.settings[name]),
    );
    this.settings = settings;
    const { ratio, window, slack } = settings.retries;
    this.core.registry.setRetryLimits({ ratio, window, slack });
    return changed;
  }

  async dispose(): Promise<void> {
    const isStoreClosed = this.store.dispose();
    this.quarantine.dispose();
    this.duties?.dispose();
    this.watch.dispose();
    this.checks.dispose();
    this.link.dispose();
    this.callers.dispose();
    this.status.dispose();
    await this.connections.dispose();
    await isStoreClosed;
  }

  private createPerformer(): EffectPerformer {
    const { log, metrics } = this.parts;
    const { checks, connections, intake, link, quarantine, watch } = this;
    return new EffectPerformer({
      log,
      metrics,
      checks,
      connections,
      intake,
      link,
      quarantine,
      watch,
    });
  }

  private addGauges(): void {
    const { clock, metrics } = this.parts;
    const { core, connections, link, store } = this;
    addDaemonGauges(metrics, {
      core,
      connections,
      link,
      store,
      isReady: () => this.isReady,
      getVersion: () => this.version,
      getVersionAge: () => (this.activeSince === undefined ? 0 : clock.now() - this.activeSince),
    });
    if (this.duties !== undefined) {
      addDutyGauges(metrics, this.duties);
    }
  }

  private createDuties(self: PeerEntry): FleetDuties | undefined {
    const { clock, duties, log } = this.parts;
    return duties === undefined
      ? undefined
      : new FleetDuties({
          ...duties,
          self,
          clock,
          log,
          send: (news, to) => this.link.send(news, to),
          getServices: () => this.core.registry.getScalableServices(),
        });
  }

  private hear(peer: string, news: PeerUpdate): void {
    switch (news.kind) {
      case 'usage':
      case 'demand':
        this.duties?.handleUpdate(peer, news);
        break;
      default:
        this.core.handle({ kind: 'peer-update', peer, update: news });
    }
  }

  private get isReady(): boolean {
    return !this.isStopping && this.active !== undefined && this.hasReplicas;
  }

  private get version(): number | undefined {
    return this.active?.configuration.version;
  }

  /** Versions only go forward, whatever order they are heard in. */
  private apply(configuration: RelayConfiguration): void {
    const previous = this.version;
    if (previous !== undefined && configuration.version <= previous) {
      return;
    }
    this.active = createActiveConfiguration(configuration);
    this.activeSince = this.parts.clock.now();
    this.callers.setLimits(configuration.limits);
    this.core.handle({ kind: 'services', services: configuration.services });
    this.watch.setServices(configuration.services);
    this.checks.setServices(configuration.services);
    const { version, routes } = configuration;
    this.parts.log({ event: 'configuration', version, previous, routes: routes.length });
  }

  private setReplicas(items: ReadonlyMap<string, RelayReplica>, revision: number): void {
    const replicas = [...items.values()];
    this.hasReplicas = true;
    this.watch.setReplicas(replicas, revision);
    this.core.handle({ kind: 'replicas', replicas });
    const ids = new Set(replicas.map(({ id }) => id));
    this.connections.retain(ids);
    this.checks.retain(ids);
  }

  private sleep(span: number): Promise<void> {
    return new Promise((resolve) => {
      this.parts.clock.setTimer(span, resolve);
    });
  }
}
