import type { Clock, Random } from '@apricotrill/utils';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { admitCall } from '../callers/admitCall.js';
import type { CallAdmission } from '../callers/admitCall.js';
import { callerOptions } from '../callers/callerOptions.js';
import { CallerServer } from '../callers/CallerServer/CallerServer.js';
import { readBody } from '../callers/readBody.js';
import { createActiveConfiguration, getUrgency } from '../config/ActiveConfiguration.js';
import type { ActiveConfiguration } from '../config/ActiveConfiguration.js';
import { pickService } from '../config/pickService.js';
import type { RelayConfiguration, RelayReplica } from '../config/RelayConfiguration.js';
import { Outcome } from '../decide/messages.js';
import type { PlacementEffect, PlacementMessage } from '../decide/messages.js';
import { PlacementCore } from '../decide/PlacementCore/PlacementCore.js';
import { StateFollower } from '../follow/StateFollower/StateFollower.js';
import type { FollowListener } from '../follow/StateFollower/StateFollower.js';
import type { ObjectSource } from '../follow/StateFollower/ObjectSource.js';
import type { CacheSource } from '../follow/CacheFollower/CacheFollower.js';
import type { RelayLog } from '../observe/RelayEvent.js';
import type { RelayMetrics } from '../observe/RelayMetrics.js';
import { getEndToEndHeaders } from '../protocol/connectionHeaders.js';
import type { RelayProtocol } from '../protocol/RelayProtocol.js';
import type { ReceivedRequest } from '../request/ReceivedRequest.js';
import { RelayTask } from '../request/RelayTask.js';
import { writeRefusal } from '../request/writeRefusal.js';
import type { PeerDirectory } from '../peers/PeerDirectory.js';
import { PeerLink } from '../peers/PeerLink/PeerLink.js';
import { StatusServer } from '../status/StatusServer.js';
import { UpstreamConnections } from '../upstream/UpstreamConnections/UpstreamConnections.js';
import { getRetrySlack } from './getRetrySlack.js';
import { HealthChecks } from './HealthChecks/HealthChecks.js';
import type { HealthSource } from './HealthChecks/HealthChecks.js';
import type { RelaySettings } from './RelaySettings.js';
import { ReplicaWatch } from './ReplicaWatch.js';
import { shutdownOptions } from './shutdownOptions.js';
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
}

const REQUEST_TOO_LARGE = 413;

/**
 * A request that comes on a connection that was open before, too late to be ended within the grace.
 */
const STOPPING: CallAdmission = {
  kind: 'rejected',
  status: 503,
  reason: 'this daemon is stopping',
  retryAfter: callerOptions.stoppingRetryAfter,
};

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

  private readonly tasks = new Map<string, RelayTask>();

  private readonly watch: ReplicaWatch;

  private readonly checks: HealthChecks;

  private readonly link: PeerLink;

  private readonly followers: StateFollower<unknown>[] = [];

  private active: ActiveConfiguration | undefined;

  private hasReplicas = false;

  private isStopping = false;

  /** It takes no requests any more. */
  private isClosed = false;

  private counter = 0;

  constructor(parts: RelayDaemonParts) {
    this.parts = parts;
    this.settings = parts.settings;
    const { clock, log, metrics, settings } = parts;
    const { ratio, window, slack } = settings.retries;
    this.core = new PlacementCore({
      clock,
      emit: (effect) => this.perform(effect),
      options: { retryRatio: ratio, retryWindow: window, retrySlack: getRetrySlack(slack) },
    });
    this.connections = new UpstreamConnections(({ service }) =>
      metrics.connectionsOpened.inc({ service }),
    );
    this.callers = new CallerServer({
      clock,
      onRequest: (request, response) => {
        this.take(request, response).catch((error: unknown) => {
          log({ event: 'fault', step: 'take request', error: String(error) });
          response.destroy();
        });
      },
      onMalformed: (reason) =>
        log({ event: 'rejected', id: '', status: 400, reason, version: this.version }),
    });
    this.status = new StatusServer({
      isReady: () => this.isReady,
      readyPaths: settings.readyPaths,
      metrics,
    });
    const tell = (message: PlacementMessage) => this.core.handle(message);
    this.watch = new ReplicaWatch({ ...parts, tell });
    this.checks = new HealthChecks({ clock, source: parts.health, tell });
    this.link = new PeerLink({
      self: { id: settings.id, address: `${settings.peers.host}:${settings.peers.port}` },
      clock,
      random: parts.random,
      log,
      directory: parts.peers,
      getAll: () => this.core.getSharedAttempts(),
      onNews: (peer, news) => tell({ kind: 'peer-news', peer, news }),
      onGone: (peer) => tell({ kind: 'peer-gone', peer }),
    });
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
    const port = await this.callers.listen(settings.callers.host, settings.callers.port);
    log({
      event: 'listening',
      callers: `${settings.callers.host}:${port}`,
      status: `${settings.status.host}:${settings.status.port}`,
    });
    this.follow('configuration', configurations, (items) => {
      items.forEach((configuration) => this.apply(configuration));
    });
    this.follow('replicas', replicas, (items, revision) => this.setReplicas(items, revision));
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
    this.callers.stopListening();
    const unlisted = this.link.unlist();
    while (this.callers.openAnswers > 0 && clock.now() < end) {
      // eslint-disable-next-line no-await-in-loop
      await this.sleep(shutdownOptions.look);
    }
    await waitAtMost(unlisted, clock, end - clock.now());
    this.link.tellGone();
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
    this.core.setRetries({ ratio, window, slack: getRetrySlack(slack) });
    return changed;
  }

  async dispose(): Promise<void> {
    this.followers.forEach((follower) => follower.dispose());
    this.watch.dispose();
    this.checks.dispose();
    this.link.dispose();
    this.callers.dispose();
    this.status.dispose();
    await this.connections.dispose();
  }

  private get isReady(): boolean {
    return !this.isStopping && this.active !== undefined && this.hasReplicas;
  }

  private get version(): number | undefined {
    return this.active?.configuration.version;
  }

  private addGauges(): void {
    const { metrics } = this.parts;
    metrics.addGauge('open_requests', 'Requests under way.', () => this.core.openRequests);
    metrics.addGauge(
      'upstream_connections',
      'Open connections to replicas.',
      () => this.connections.size,
    );
    metrics.addGauge('peers', 'Other daemons that are heard.', () => this.link.livePeers);
    metrics.addGauge('configuration_version', 'In force here.', () => this.version ?? 0);
    metrics.addGauge('ready', '1 while new callers are welcome.', () => Number(this.isReady));
  }

  private follow<Item>(
    dependency: string,
    source: ObjectSource<Item>,
    onItems: FollowListener<Item>['onItems'],
  ): void {
    const { clock, random, log } = this.parts;
    const follower = new StateFollower({
      source,
      clock,
      random,
      listener: {
        onItems,
        onLost: (error) => log({ event: 'dependency-lost', dependency, error: error.message }),
        onRegained: (after) => log({ event: 'dependency-regained', dependency, after }),
        onKept: (replica, until) =>
          log({ event: 'replica-kept', replica, until, reason: 'the store was away' }),
      },
    });
    this.followers.push(follower);
    follower.run().catch((error: unknown) => {
      log({ event: 'fault', step: `follow ${dependency}`, error: String(error) });
    });
  }

  /** Versions only go forward, whatever order they are heard in. */
  private apply(configuration: RelayConfiguration): void {
    const previous = this.version;
    if (previous !== undefined && configuration.version <= previous) {
      return;
    }
    this.active = createActiveConfiguration(configuration);
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

  private async take(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { clock, log, protocol } = this.parts;
    const arrived = clock.now();
    const fields = protocol.readCaller(request.headers);
    const id = this.createId(fields.requestId);
    const admission = this.isClosed ? STOPPING : admitCall(request, fields, this.active);
    if (admission.kind === 'rejected') {
      const { status, reason, retryAfter } = admission;
      log({ event: 'rejected', id, status, reason, version: this.version });
      writeRefusal(response, { status, reason, outcome: Outcome.NotRun, retryAfter });
      request.resume();
      return;
    }
    const { active, route, workspace } = admission;
    const { configuration } = active;
    const read = await readBody(request, configuration.limits.bodyBytes);
    if (read.kind === 'cut') {
      log({ event: 'caller-left', id, after: clock.now() - arrived });
      return;
    }
    if (read.kind === 'too-large') {
      const reason = 'body too large';
      log({ event: 'rejected', id, status: REQUEST_TOO_LARGE, reason, version: this.version });
      response.shouldKeepAlive = false;
      writeRefusal(response, { status: REQUEST_TOO_LARGE, reason, outcome: Outcome.NotRun });
      return;
    }
    this.relay(response, {
      id,
      method: request.method ?? 'GET',
      target: request.url ?? '/',
      rawHeaders: getEndToEndHeaders(request.rawHeaders),
      body: read.body,
      fields,
      route,
      service: pickService(route, this.parts.random),
      workspace,
      priority: workspace?.priority ?? route.priority,
      urgency: getUrgency(active, route),
      arrived,
      deadline: arrived + Math.min(route.timeout, fields.timeout ?? Number.POSITIVE_INFINITY),
      version: configuration.version,
    });
  }

  private relay(response: ServerResponse, request: ReceivedRequest): void {
    const { clock, log, metrics, protocol } = this.parts;
    if (response.destroyed) {
      return;
    }
    const { id, route, workspace, priority, version } = request;
    log({
      event: 'admitted',
      id,
      route: route.name,
      workspace: workspace?.name ?? '',
      priority,
      timeLeft: request.deadline - clock.now(),
      version,
    });
    const task = new RelayTask({
      request,
      response,
      protocol,
      connections: this.connections,
      clock,
      log,
      metrics,
      tell: (message) => this.core.handle(message),
      onOver: () => this.tasks.delete(id),
    });
    this.tasks.set(id, task);
    this.core.handle({ kind: 'submit', request: task.placementRequest });
  }

  private createId(requestId: string | undefined): string {
    if (requestId !== undefined && !this.tasks.has(requestId)) {
      return requestId;
    }
    this.counter += 1;
    return `${this.parts.settings.id}/${this.counter}`;
  }

  private perform(effect: PlacementEffect): void {
    const { log } = this.parts;
    switch (effect.kind) {
      case 'send':
        this.tasks.get(effect.id)?.send(effect);
        break;
      case 'cancel':
        this.tasks.get(effect.id)?.cancel(effect);
        break;
      case 'give-up':
        this.tasks.get(effect.id)?.giveUp(effect);
        break;
      case 'settle':
        this.tasks.get(effect.id)?.settle();
        break;
      case 'share':
        this.link.tell(effect.news);
        break;
      case 'suspect': {
        const { replica, reason } = effect;
        const { id, service } = replica;
        log({ event: 'replica-suspect', replica: id, service, reason });
        this.connections.closeResting(replica);
        this.checks.add(replica);
        break;
      }
      case 'trust': {
        const { id, service } = effect.replica;
        log({ event: 'replica-trusted', replica: id, service });
        break;
      }
      default:
        effect satisfies never;
    }
  }

  private sleep(span: number): Promise<void> {
    return new Promise((resolve) => {
      this.parts.clock.setTimer(span, resolve);
    });
  }
}
