import { abortResponse } from '@apricotrill/callers';
import { PortOpener } from '@apricotrill/lifecycle';
import { parseSocketAddress } from '@apricotrill/utils';
import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import { CallerServer } from '../callers/CallerServer/CallerServer.js';
import { OverloadGuard } from '../callers/OverloadGuard/OverloadGuard.js';
import { waitForIteration } from '../callers/OverloadGuard/waitForIteration.js';
import { RefusedConnections } from '../callers/RefusedConnections/RefusedConnections.js';
import { createActiveConfiguration } from '../config/ActiveConfiguration.js';
import type { ActiveConfiguration } from '../config/ActiveConfiguration.js';
import type { RelayConfiguration, RelayReplica } from '../config/RelayConfiguration.js';
import { getPlacementCapacity } from '../decide/Fleet/getPlacementCapacity.js';
import type { PlacementMessage } from '../decide/messages.js';
import { PlacementCore } from '../decide/PlacementCore/PlacementCore.js';
import type { ObjectSource } from '../follow/StateFollower/ObjectSource.js';
import type { CacheSource } from '../follow/CacheFollower/CacheFollower.js';
import { FleetDuties } from '../duties/FleetDuties/FleetDuties.js';
import type { DutyDependencies } from '../duties/FleetDuties/FleetDuties.js';
import { getErrorText } from '../observe/getErrorText.js';
import type { RelayLog } from '../observe/RelayEvent.js';
import type { RelayMetrics } from '../observe/RelayMetrics.js';
import { UnreadableReporter } from '../observe/UnreadableReporter/UnreadableReporter.js';
import type { RelayProtocol, ReplicaNotice } from '../protocol/RelayProtocol.js';
import { UnreadableKind } from '../protocol/UnreadableField.js';
import type { PeerDirectory, PeerEntry } from '../peers/PeerDirectory.js';
import { PeerLink } from '../peers/PeerLink/PeerLink.js';
import { PeerServer } from '../peers/PeerServer/PeerServer.js';
import type { PeerUpdate } from '../peers/PeerUpdate.js';
import { StreamVersionRecorder } from '../streams/StreamVersionRecorder/StreamVersionRecorder.js';
import type { StreamVersionStore } from '../streams/StreamVersionStore.js';
import { StreamVersionExchange } from '../streams/StreamVersionExchange/StreamVersionExchange.js';
import { StreamVersions } from '../streams/StreamVersions/StreamVersions.js';
import { StatusServer } from '../status/StatusServer.js';
import { addDaemonGauges, addDutyGauges } from './addDaemonGauges.js';
import { applyNotice } from './applyNotice.js';
import { createMemoryGuard } from './createMemoryGuard.js';
import { EffectPerformer } from './EffectPerformer.js';
import { HANDOVER_PATH } from '../handover/handoverProtocol.js';
import { PortHandover } from '../handover/PortHandover/PortHandover.js';
import { requestPorts } from '../handover/requestPorts.js';
import { HealthChecks } from './HealthChecks/HealthChecks.js';
import type { HealthSource } from './HealthChecks/HealthChecks.js';
import type { RelaySettings } from './RelaySettings.js';
import type { QuarantineStore } from './QuarantineStore.js';
import { QuarantineSync } from './QuarantineSync/QuarantineSync.js';
import { ReplicaPaths } from './ReplicaPaths.js';
import type { ReplicaEndpoint } from './ReplicaPaths.js';
import { ReplicaWatch } from './ReplicaWatch.js';
import { RequestIntake } from './RequestIntake.js';
import { shutdownOptions } from './shutdownOptions.js';
import { StoreLink } from './StoreLink.js';
import { waitAtMost } from './waitAtMost.js';

/** Dependencies of {@link RelayDaemon}. */
export interface RelayDaemonParts {
  settings: RelaySettings;
  clock: Clock;
  random: Random;
  log: RelayLog;
  metrics: RelayMetrics;
  protocol: RelayProtocol;
  /** Contains a single object, the configuration. */
  configurations: ObjectSource<RelayConfiguration>;
  replicas: ObjectSource<RelayReplica>;
  caches: CacheSource;
  health: HealthSource;
  peers: PeerDirectory;
  quarantine: QuarantineStore;
  streamVersions: StreamVersionStore;
  /** Absent if the platform requires no duties. */
  duties?: DutyDependencies;
}

/** Names of the kinds of objects that are followed. */
const CONFIGURATION = 'configuration';
const REPLICAS = 'replicas';

/**
 * The relay process: follows the store, accepts requests from callers, and carries out the decisions
 * of the placement core.
 *
 * @public
 */
export class RelayDaemon {
  private readonly parts: RelayDaemonParts;

  private settings: RelaySettings;

  private readonly core: PlacementCore;

  private readonly callerServer: CallerServer;

  private readonly statusServer: StatusServer;

  private readonly replicaPaths: ReplicaPaths;

  private readonly replicaWatch: ReplicaWatch;

  private readonly streams: StreamVersionExchange;

  private readonly healthChecks: HealthChecks;

  private readonly peerLink: PeerLink;

  private readonly peerServer: PeerServer;

  private readonly portOpener: PortOpener;

  private readonly portHandover: PortHandover;

  /** Removes this daemon's entries from the store once it stops. */
  private departure: Promise<unknown> = Promise.resolve();

  private readonly storeLink: StoreLink;

  private readonly intake: RequestIntake;

  private readonly quarantineSync: QuarantineSync;

  private readonly overloadGuard: OverloadGuard;

  private readonly refusedConnections: RefusedConnections;

  private readonly exceededConnections: RefusedConnections;

  private readonly unreadable: UnreadableReporter;

  private readonly duties: FleetDuties | undefined;

  private readonly effectPerformer: EffectPerformer;

  private active: ActiveConfiguration | undefined;

  /** When this daemon applied the active configuration. */
  private activeSince: Milliseconds | undefined;

  /** Version of the last configuration of which all parts have been applied. */
  private appliedVersion: number | undefined;

  private hasReplicas = false;

  private isStopping = false;

  /** Whether new requests are rejected because the daemon is stopping. */
  private isRejecting = false;

  constructor(parts: RelayDaemonParts) {
    this.parts = parts;
    this.settings = parts.settings;
    const { clock, log, metrics, settings } = parts;
    const { id, availabilityZone, peers, instance } = settings;
    const capacity = instance === undefined ? undefined : getPlacementCapacity(instance);
    const self = { id, availabilityZone, address: `${peers.host}:${peers.port}`, capacity };
    const { ratio, window, slack } = settings.retries;
    this.core = new PlacementCore({
      clock,
      emit: (effect) => this.effectPerformer.perform(effect),
      options: {
        retryRatio: ratio,
        retryWindow: window,
        retrySlack: slack,
        availabilityZone: settings.availabilityZone,
      },
    });
    this.portOpener = new PortOpener({
      clock,
      log,
      findHolder: () => requestPorts(id, self.address),
    });
    this.portHandover = new PortHandover({
      daemon: id,
      log,
      isStopping: () => this.isStopping,
      release: () => this.releasePorts(),
    });
    this.refusedConnections = new RefusedConnections({
      clock,
      log,
      event: 'connections-refused',
      counter: metrics.connectionsRefused,
    });
    this.exceededConnections = new RefusedConnections({
      clock,
      log,
      event: 'connections-exceeded',
      counter: metrics.connectionsExceeded,
    });
    const onExceeded = () => this.exceededConnections.record();
    this.peerServer = new PeerServer((error) => this.logFault('serve daemons', error), onExceeded);
    this.peerServer.addHandler(HANDOVER_PATH, this.portHandover.handler);
    this.unreadable = new UnreadableReporter({ clock, log, metrics });
    const dispatch = (message: PlacementMessage) => this.core.handle(message);
    const memory = createMemoryGuard({
      ...parts,
      limit: settings.memoryLimit,
    });
    this.replicaPaths = new ReplicaPaths({
      ...parts,
      memory,
      self,
      peerServer: this.peerServer,
      findReplica: (replica) => this.core.registry.findReplica(replica)?.replica,
      getHealthPath: ({ service }) => this.core.registry.getService(service).service?.healthPath,
      mayCheck: ({ id: replica }) => this.core.tryAcquireCheck(replica),
      identify: (...call) => parts.health.identify(...call),
      maySend: (replica) => this.core.maySend(replica),
      getMaxBodyBytes: () => this.active?.configuration.limits.bodyBytes,
      isStopping: () => this.isRejecting,
      onNotice: (replica, source, notice) => this.handleNotice(replica, source, notice),
      onSilent: (replicas) => this.intake.handleSilentReplicas(replicas),
      onContact: (replica) => dispatch({ kind: 'contact', replica }),
      share: (update) => this.peerLink.send(update),
    });
    this.storeLink = new StoreLink({
      ...parts,
      self,
      peerServer: this.peerServer,
      changeBound: settings.changeBound,
      onRestored: (dependency) => this.handleStoreRestored(dependency),
    });
    this.streams = new StreamVersionExchange({
      ...parts,
      self,
      recorder: new StreamVersionRecorder({ ...parts, store: parts.streamVersions, daemon: id }),
      peerServer: this.peerServer,
      versions: new StreamVersions({
        clock,
        isFirstStart: settings.isFirstStart,
        getListAge: () => this.storeLink.getAge(REPLICAS),
      }),
    });
    this.intake = new RequestIntake({
      ...parts,
      memory,
      daemonId: settings.id,
      unreadable: this.unreadable,
      sender: this.replicaPaths.sender,
      dispatch,
      maySend: (replica) => this.core.maySend(replica),
      getActive: () => this.active,
      getConfigurationAge: () => this.storeLink.getAge(CONFIGURATION),
      confirmConfiguration: () => this.storeLink.confirm(CONFIGURATION),
      isRejecting: () => this.isRejecting,
      onAttemptSent: (service, tokens) => this.duties?.recordSent(service, tokens),
      onRefused: (service, prompt) => {
        if (this.core.registry.getService(service).isAdmissionControlled) {
          this.duties?.recordRefused(service, prompt);
        }
      },
      onAttemptEnded: (attempt) => this.duties?.recordEnd(attempt),
      onStreamStarted: (stream) => this.streams.recordStart(stream),
      onRunStarted: (workspace, at) => this.duties?.recordRunStart(workspace, at),
      findResumption: (stream) => this.streams.find(stream),
    });
    this.overloadGuard = new OverloadGuard({
      clock,
      afterIteration: waitForIteration,
      countPeers: () => this.peerLink.livePeerCount,
      onChanged: (isOverloaded, iteration) => {
        log({ event: isOverloaded ? 'overloaded' : 'overload-ended', iteration });
        this.peerLink.send({ kind: 'overload', isOverloaded });
      },
    });
    this.callerServer = new CallerServer({
      clock,
      shouldRefuse: () => this.shouldRefuseConnection(),
      onRequest: (request, response) => {
        this.intake.handleRequest(request, response).catch((error: unknown) => {
          this.logFault('take request', error);
          abortResponse(response);
        });
      },
      onMalformed: (reason) => this.intake.recordMalformed(reason),
      onExceeded,
      onError: (error) => this.logFault('accept', error),
    });
    this.statusServer = new StatusServer({
      isReady: () => this.isReady,
      readyPaths: settings.readyPaths,
      metrics,
      getDuties: () => this.duties?.status,
      onExceeded,
      onFault: (error) => this.logFault('serve status', error),
    });
    this.replicaWatch = new ReplicaWatch({ ...parts, dispatch });
    this.healthChecks = new HealthChecks({
      clock,
      log,
      source: parts.health,
      dispatch,
      tryAcquireCheck: (replica) => this.core.tryAcquireCheck(replica),
    });
    this.quarantineSync = new QuarantineSync({ ...parts, store: parts.quarantine, dispatch });
    this.peerLink = new PeerLink({
      self,
      clock,
      random: parts.random,
      log,
      directory: parts.peers,
      getSharedAttempts: () => this.core.getSharedAttempts(),
      getPeriodicUpdates: () => [
        ...this.core.getPeriodicUpdates(),
        ...this.replicaPaths.getPeriodicUpdates(),
        ...this.overloadGuard.getPeriodicUpdates(),
      ],
      onUpdate: (peer, update) => this.handlePeerUpdate(peer, update),
      onClockReading: (peer, sentAt) => this.duties?.recordClockReading(peer, sentAt),
      onPeerLost: (peer) => dispatch({ kind: 'peer-removed', peer }),
      onFleetChanged: (daemons) => {
        this.storeLink.setFleet(daemons);
        this.replicaPaths.setFleet(daemons);
        this.streams.setFleet(daemons);
        this.duties?.setFleet(daemons);
        const capacities = new Map(daemons.map((daemon) => [daemon.id, daemon.capacity]));
        dispatch({ kind: 'fleet', self: id, daemons: [...capacities.keys()], capacities });
      },
      onDaemonCount: (count) => {
        this.replicaWatch.setDaemonCount(count);
        this.storeLink.setDaemonCount(count);
        dispatch({ kind: 'daemons', count });
      },
      getStorePositions: () => this.storeLink.lastChangePositions,
      onStorePositions: (positions) => this.storeLink.recordPeerPositions(positions),
    });
    this.duties = this.createDuties(self);
    this.effectPerformer = this.createEffectPerformer();
    this.addGauges();
  }

  /**
   * Opens the ports and starts following the store, which does not wait for ports that are not available yet.
   *
   * @returns the port for callers; undefined if the daemon was stopped before it was open
   * @throws an error of the port for callers that can't pass
   */
  async start(): Promise<number | undefined> {
    const opened = this.openPorts();
    this.follow();
    return opened;
  }

  /**
   * Opens all ports at the same time, so that one that is not available holds up no other. Callers can be served
   * without the others, whatever the reason why they can't be opened.
   */
  private async openPorts(): Promise<number | undefined> {
    const { status, metrics, peers } = this.parts.settings;
    const { portOpener, statusServer, peerServer } = this;
    const [port] = await Promise.all([
      this.openCallerPort(),
      portOpener.openOptional('status', () => statusServer.listen(status.host, status.port)),
      metrics === undefined
        ? undefined
        : portOpener.openOptional('metrics', () => statusServer.listen(metrics.host, metrics.port)),
      portOpener.openOptional('peers', () => peerServer.listen(peers.host, peers.port)),
      this.startPeerLink(),
    ]);
    return port;
  }

  private async openCallerPort(): Promise<number | undefined> {
    const { settings, log } = this.parts;
    const { callers, status } = settings;
    const port = await this.portOpener.open('callers', () =>
      this.callerServer.listen(callers.host, callers.port),
    );
    if (port !== undefined) {
      log({
        event: 'listening',
        callers: `${callers.host}:${port}`,
        status: `${status.host}:${status.port}`,
      });
    }
    return port;
  }

  private async startPeerLink(): Promise<void> {
    const isOpen = await this.portOpener.openOptional('datagrams', async () => {
      await this.peerLink.listen();
      return true;
    });
    if (isOpen === true) {
      this.peerLink.start();
      this.duties?.setLinked(true);
    }
  }

  private follow(): void {
    const { settings, log, configurations, replicas } = this.parts;
    this.quarantineSync.load().catch((error: unknown) => {
      log({ event: 'fault', step: 'load quarantine', error: String(error) });
    });
    this.streams.load(settings.isFirstStart);
    this.storeLink.follow(CONFIGURATION, configurations, (items) => {
      items.forEach((configuration) => this.applyConfiguration(configuration));
    });
    this.storeLink.follow(REPLICAS, replicas, (items, revision) =>
      this.setReplicas(items, revision),
    );
  }

  /** Finishes the requests in flight and shuts down; resolves when the process may exit. */
  async stop(signal: string): Promise<void> {
    const { clock, log } = this.parts;
    const { settings } = this;
    const startedAt = clock.now();
    const deadline = startedAt + settings.grace - shutdownOptions.exitReserve;
    this.isStopping = true;
    log({ event: 'stopping', signal, open: this.callerServer.openResponseCount });
    this.portOpener.stop();
    this.callerServer.drain();
    if (this.callerServer.isListening) {
      await this.sleep(shutdownOptions.acceptPeriod);
    }
    this.isRejecting = true;
    const connectionCounts = await this.callerServer.stopListening();
    this.refusedConnections.report();
    this.exceededConnections.report();
    log({ event: 'port-closed', after: clock.now() - startedAt, ...connectionCounts });
    this.departure = this.depart();
    this.portHandover.allow();
    // Besides responses in flight, waits for connections whose first request has yet to arrive.
    const hasOpen = () =>
      this.callerServer.openConnectionCount > 0 || this.replicaPaths.forwardedCount > 0;
    while (hasOpen() && clock.now() < deadline) {
      // eslint-disable-next-line no-await-in-loop
      await this.sleep(shutdownOptions.pollInterval);
    }
    await waitAtMost(this.departure, clock, deadline - clock.now());
    this.peerLink.announceDeparture();
    log({
      event: 'stopped',
      after: clock.now() - startedAt,
      cutOff: this.callerServer.openResponseCount,
    });
    await waitAtMost(this.dispose(), clock, shutdownOptions.disposeTimeout);
  }

  /** Removes what this daemon has written to the store. Its entry is the same as that of a successor. */
  private async depart(): Promise<void> {
    const deregistration = this.portHandover.hasSuccessor ? undefined : this.peerLink.deregister();
    await Promise.all([deregistration, this.duties?.stop()]);
  }

  /** Closes the ports for a successor. Open connections stay, and so do the requests in flight. */
  private async releasePorts(): Promise<void> {
    // The successor writes the same entries to the store, which must not be removed afterwards.
    await waitAtMost(this.departure, this.parts.clock, shutdownOptions.departureTimeout);
    this.statusServer.stopListening();
    this.peerServer.stopListening();
    this.duties?.setLinked(false);
    this.peerLink.release();
  }

  /**
   * Applies settings that were changed at run time. Ports that are open are not reopened.
   *
   * @returns the names of the settings that changed
   */
  reload(settings: RelaySettings): string[] {
    this.quarantineSync.release().catch((error: unknown) => {
      this.parts.log({ event: 'fault', step: 'release quarantined content', error: String(error) });
    });
    const names = Object.keys(settings) as (keyof RelaySettings)[];
    const changed = names.filter(
      (name) => JSON.stringify(settings[name]) !== JSON.stringify(this.settings[name]),
    );
    this.settings = settings;
    const { ratio, window, slack } = settings.retries;
    this.core.registry.setRetryLimits({ ratio, window, slack });
    return changed;
  }

  /** Requests in flight. */
  get openRequestCount(): number {
    return this.core.openRequests;
  }

  /** Other daemons that are alive. */
  get livePeerCount(): number {
    return this.peerLink.livePeerCount;
  }

  /** Logs and counts an error that no handler has caught. */
  recordFault(step: string, error: unknown): void {
    this.parts.metrics.processFaults.inc();
    this.logFault(step, error);
  }

  /** Where to call an API of a replica itself: at the replica, or through another daemon. */
  getReplicaEndpoint(replica: RelayReplica, path: string): ReplicaEndpoint {
    return this.replicaPaths.getEndpoint(replica, path);
  }

  /** Handles what a replica announces in a response to a call that is not a caller's request. */
  handleNotice(replica: RelayReplica, source: string, notice: ReplicaNotice): void {
    this.unreadable.report(`replica ${replica.id}`, notice.unreadable);
    const receivedAt = this.parts.clock.now();
    applyNotice({ replica, source, notice, receivedAt }, (message) => this.core.handle(message));
  }

  async dispose(): Promise<void> {
    this.portOpener.stop();
    const storeDisposal = this.storeLink.dispose();
    this.quarantineSync.dispose();
    this.duties?.dispose();
    this.replicaWatch.dispose();
    this.healthChecks.dispose();
    this.peerLink.dispose();
    this.callerServer.dispose();
    this.statusServer.dispose();
    this.peerServer.dispose();
    await this.streams.dispose();
    await this.replicaPaths.dispose();
    await storeDisposal;
  }

  private createEffectPerformer(): EffectPerformer {
    const { log, metrics } = this.parts;
    const { healthChecks, intake, peerLink, quarantineSync, replicaWatch } = this;
    const { connections, paths } = this.replicaPaths;
    return new EffectPerformer({
      log,
      metrics,
      healthChecks,
      connections,
      intake,
      peerLink,
      quarantineSync,
      replicaWatch,
      paths,
      dispatch: (message) => this.core.handle(message),
    });
  }

  private addGauges(): void {
    const { clock, metrics } = this.parts;
    const { core, peerLink, storeLink } = this;
    const { connections, paths } = this.replicaPaths;
    addDaemonGauges(metrics, {
      core,
      connections,
      paths,
      peerLink,
      storeLink,
      getPorts: () => this.portOpener.ports,
      isReady: () => this.isReady,
      getConfigurationVersion: () => this.version,
      getConfigurationAge: () =>
        this.activeSince === undefined ? 0 : clock.now() - this.activeSince,
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
          send: (update, to) => this.peerLink.send(update, to),
          getServices: () => this.core.registry.getScalableServices(),
        });
  }

  private handlePeerUpdate(peer: string, update: PeerUpdate): void {
    switch (update.kind) {
      case 'usage':
      case 'demand':
        this.duties?.handleUpdate(peer, update);
        break;
      case 'overload':
        this.overloadGuard.recordPeer(peer, update);
        break;
      case 'isolation':
        this.replicaPaths.recordPeerIsolation(peer, update.isIsolated);
        break;
      default:
        this.core.handle({ kind: 'peer-update', peer, update });
    }
  }

  private shouldRefuseConnection(): boolean {
    const isRefused = this.overloadGuard.shouldRefuse();
    if (isRefused) {
      this.refusedConnections.record();
    }
    return isRefused;
  }

  private get isReady(): boolean {
    const canServe = this.active !== undefined && this.hasReplicas && this.replicaPaths.isUsable;
    return !this.isStopping && this.callerServer.isListening && canServe;
  }

  private get version(): number | undefined {
    return this.active?.configuration.version;
  }

  /** Writes again what this daemon wrote to the store, once for all kinds of objects. */
  private handleStoreRestored(dependency: string): void {
    if (dependency !== REPLICAS) {
      return;
    }
    this.peerLink.registerAgain();
    this.quarantineSync.saveAgain().catch((error: unknown) => {
      this.parts.log({ event: 'fault', step: 'save quarantine', error: String(error) });
    });
  }

  /** Applies a version if it is newer than the active one; versions can arrive out of order. */
  private applyConfiguration(configuration: RelayConfiguration): void {
    const previous = this.appliedVersion;
    const isApplied = previous !== undefined && configuration.version <= previous;
    // A version of which only some parts could be applied must not give way to an older one.
    const isOlder = this.version !== undefined && configuration.version < this.version;
    if (isApplied || isOlder) {
      return;
    }
    this.active = createActiveConfiguration(configuration, this.parts.protocol.rankLevels);
    this.activeSince = this.parts.clock.now();
    this.callerServer.setLimits(configuration.limits);
    this.core.handle({ kind: 'services', services: configuration.services });
    this.replicaWatch.setServices(configuration.services);
    this.healthChecks.setServices(configuration.services);
    const { version, routes } = configuration;
    const timeouts = routes.filter(({ resumable }) => resumable).map(({ timeout }) => timeout);
    this.streams.setLongestTimeout(Math.max(0, ...timeouts));
    const age = this.storeLink.getAge(CONFIGURATION);
    this.appliedVersion = version;
    this.parts.log({ event: 'configuration', version, previous, routes: routes.length, age });
  }

  private setReplicas(items: ReadonlyMap<string, RelayReplica>, revision: number): void {
    // A reader of the release before states no versions.
    const replicas = [...items.values()]
      .filter((replica) => this.hasUsableAddress(replica))
      .map((replica) => ({ ...replica, softwareVersion: replica.softwareVersion ?? '' }));
    this.hasReplicas = true;
    this.replicaWatch.setReplicas(replicas, revision);
    this.streams.setReplicas(replicas);
    this.core.handle({ kind: 'replicas', replicas });
    const ids = new Set(replicas.map(({ id }) => id));
    this.replicaPaths.setReplicas(replicas);
    this.healthChecks.retain(ids);
  }

  /** Readers of earlier releases pass on entries whose address they have not checked. */
  private hasUsableAddress({ id, address }: RelayReplica): boolean {
    const isUsable = parseSocketAddress(address) !== undefined;
    if (!isUsable) {
      const fields = [{ kind: UnreadableKind.Address, text: address }];
      this.unreadable.report(`replica ${id}`, fields);
    }
    return isUsable;
  }

  private logFault(step: string, error: unknown): void {
    this.parts.log({ event: 'fault', step, error: getErrorText(error) });
  }

  private sleep(duration: number): Promise<void> {
    return new Promise((resolve) => {
      this.parts.clock.setTimer(duration, resolve);
    });
  }
}
