import type { KeyFiles } from '@apricotrill/keys';
import { PortOpener } from '@apricotrill/lifecycle';
import type { Configuration, Settings } from '@apricotrill/model';
import { Scheduler } from '@apricotrill/policy';
import type { LoadReport } from '@apricotrill/policy';
import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import { AdminServer } from '../observe/AdminServer.js';
import type { DecisionLog } from '../observe/DecisionLog.js';
import { getErrorText } from '../observe/getErrorText.js';
import { RouterMetrics } from '../observe/RouterMetrics.js';
import { defaultRouterOptions } from '../options.js';
import { CallerServer } from '../pipeline/CallerServer.js';
import { RoutingTable } from '../pipeline/RoutingTable.js';
import { RequestRunner } from '../request/RequestRunner.js';
import { SchedulingTask } from '../request/SchedulingTask.js';
import { LoadPoller } from '../upstream/LoadPoller.js';
import { ReplicaConnections } from '../upstream/ReplicaConnections.js';
import { LeavingReplicas } from './LeavingReplicas/LeavingReplicas.js';
import type { DaemonPorts, SharedState } from './SharedState.js';

/**
 * Dependencies of a {@link RouterDaemon}.
 *
 * @internal
 */
export interface RouterDaemonDependencies {
  settings: Settings;
  clock: Clock;
  random: Random;
  shared: SharedState;
  log: DecisionLog;
  /** Key and certificate for TLS; plain connections when absent. */
  keys?: KeyFiles;
}

/**
 * One router daemon. Connects the scheduler, the servers and connections, and the state shared with
 * peers, and controls the order in which they start and stop.
 *
 * @internal
 */
export class RouterDaemon {
  private readonly dependencies: RouterDaemonDependencies;

  private readonly metrics = new RouterMetrics();

  private readonly connections = new ReplicaConnections();

  private readonly scheduling: SchedulingTask;

  private readonly scheduler: Scheduler;

  private readonly leavingReplicas: LeavingReplicas;

  private readonly loadPoller: LoadPoller;

  private readonly callerServer: CallerServer;

  private readonly adminServer: AdminServer;

  private readonly portOpener: PortOpener;

  private routingTable: RoutingTable | undefined;

  private isStopping = false;

  constructor(dependencies: RouterDaemonDependencies) {
    this.dependencies = dependencies;
    const { clock, random, log } = dependencies;
    this.portOpener = new PortOpener({ clock, log: (event) => log('daemon', event) });
    dependencies.shared.addMetrics?.(this.metrics.registry);
    this.scheduling = new SchedulingTask(log);
    this.scheduler = new Scheduler({
      clock,
      random,
      emit: (effect) => this.scheduling.perform(effect),
    });
    this.scheduling.attach(this.scheduler);
    this.leavingReplicas = new LeavingReplicas(clock, {
      onLeaving: (replica) => this.scheduler.handle({ kind: 'replica-leaving', replica }),
      onReturned: (replica) => this.scheduler.handle({ kind: 'replica-returned', replica }),
    });
    this.loadPoller = this.createPoller();
    this.callerServer = this.createCallerServer();
    this.adminServer = this.createAdminServer();
  }

  /**
   * Opens the ports and joins the cluster; requests are served once a configuration is in force. No port waits for
   * another one that is not available yet.
   *
   * @returns the ports; undefined if the daemon was stopped before they were open
   * @throws an error of a port that can't pass
   */
  async start(): Promise<(DaemonPorts & { meshPort?: number }) | undefined> {
    const { settings, keys } = this.dependencies;
    await keys?.load();
    const opened = [
      this.portOpener.open('callers', () => this.callerServer.listen()),
      this.portOpener.open('admin', () =>
        this.adminServer.listen(settings.host, settings.adminPort),
      ),
    ] as const;
    const [port, adminPort, meshPort] = await Promise.all([...opened, this.join(...opened)]);
    return port === undefined || adminPort === undefined || this.isStopping
      ? undefined
      : { port, adminPort, meshPort: meshPort ?? undefined };
  }

  /**
   * Shuts down gracefully. First the readiness check fails, so that the load balancer stops sending
   * requests; requests that still arrive meanwhile are served. Every request in flight is completed.
   */
  async stop(): Promise<void> {
    const { clock, log, shared } = this.dependencies;
    if (this.isStopping) {
      return;
    }
    this.isStopping = true;
    log('daemon', { event: 'draining', inFlight: this.scheduling.getRequestCount() });
    this.portOpener.stop();
    shared.announceLeaving();
    if (this.callerServer.isListening) {
      await new Promise<void>((resolve) => {
        clock.setTimer(defaultRouterOptions.readinessDrainDelay, resolve);
      });
    }
    // Requests still being read or claimed are not queued yet, but their connections are open.
    await this.callerServer.close();
    await this.scheduling.waitUntilIdle();
    this.scheduler.handle({ kind: 'drain' });
    await shared.handOver();
    await this.dispose();
    log('daemon', { event: 'stopped' });
  }

  /** Stops immediately; requests in flight are aborted. */
  async dispose(): Promise<void> {
    this.isStopping = true;
    this.portOpener.stop();
    this.loadPoller.dispose();
    this.leavingReplicas.dispose();
    this.callerServer.dispose();
    this.adminServer.dispose();
    this.scheduler.dispose();
    await this.connections.dispose();
    await this.dependencies.shared.dispose();
    this.dependencies.keys?.dispose();
  }

  /** Joins the cluster. Only a port that the operating system chooses must be open before. */
  private async join(
    callers: Promise<number | undefined>,
    admin: Promise<number | undefined>,
  ): Promise<number | void> {
    const { settings, shared } = this.dependencies;
    const port = settings.port === 0 ? await callers : settings.port;
    const adminPort = settings.adminPort === 0 ? await admin : settings.adminPort;
    if (port === undefined || adminPort === undefined) {
      return undefined;
    }
    const listener = {
      onConfigurationChange: (configuration: Configuration, generation: number) =>
        this.applyConfiguration(configuration, generation),
      onDaemonsChange: (self: string, daemons: string[]) =>
        this.scheduler.handle({ kind: 'daemons', self, daemons }),
      onReplicaLeaving: (replica: string, validity: Milliseconds) =>
        this.leavingReplicas.recordAnnouncement(replica, validity),
    };
    return shared.start(listener, { port, adminPort }, this.portOpener);
  }

  /** Number of requests that have not ended. */
  get openRequestCount(): number {
    return this.scheduling.getRequestCount();
  }

  /** Number of other daemons that can serve in place of this one. */
  get livePeerCount(): number {
    return this.dependencies.shared.countPeers();
  }

  /** Logs and counts an error that no handler has caught. */
  recordFault(step: string, error: unknown): void {
    this.metrics.processFaults.inc();
    this.logFault(step, error);
  }

  private logFault(step: string, error: unknown): void {
    this.dependencies.log('daemon', { event: 'fault', step, error: getErrorText(error) });
  }

  private applyConfiguration(configuration: Configuration, generation: number): void {
    this.routingTable = new RoutingTable(configuration);
    const { replicas } = configuration.register;
    this.scheduler.handle({ kind: 'replicas', replicas });
    this.loadPoller.setReplicas(replicas);
    this.connections.retain(replicas);
    this.metrics.setGeneration(generation);
    this.dependencies.log('configuration', { event: 'in-force', generation });
  }

  private recordLoad(report: LoadReport): void {
    this.loadPoller.recordReport(report.replica);
    this.scheduler.handle({ kind: 'load-report', report });
  }

  private recordReplicaLeaving(replica: string): void {
    this.leavingReplicas.recordSelfReport(replica);
    this.dependencies.shared.announceReplicaLeaving(replica);
  }

  private createPoller(): LoadPoller {
    return new LoadPoller(this.dependencies.clock, this.dependencies.random, {
      onReport: (report) => this.scheduler.handle({ kind: 'load-report', report }),
      onLeaving: (replica) => this.recordReplicaLeaving(replica),
      onReturned: (replica) => this.leavingReplicas.recordReturn(replica),
    });
  }

  private createCallerServer(): CallerServer {
    const { settings, clock, log, shared } = this.dependencies;
    const { limits, host, port } = settings;
    const { connections, scheduling, metrics } = this;
    const runner = new RequestRunner({
      clock,
      connections,
      scheduling,
      metrics,
      log,
      onLoad: (report) => this.recordLoad(report),
      onReplicaLeaving: (replica) => this.recordReplicaLeaving(replica),
    });
    const context = {
      clock,
      limits: { maxBodyBytes: limits.maxBodyBytes, bodyTimeout: limits.bodyTimeoutMs },
      getTable: () => this.routingTable,
      claims: shared.claims,
      runner,
      connections,
      log,
    };
    return new CallerServer(context, {
      host,
      port,
      headersTimeout: limits.headersTimeoutMs,
      keys: this.dependencies.keys,
      onFault: (error) => this.logFault('serve callers', error),
    });
  }

  private createAdminServer(): AdminServer {
    const { shared, settings } = this.dependencies;
    return new AdminServer({
      isReady: () =>
        this.routingTable !== undefined && this.callerServer.isListening && !this.isStopping,
      getMembers: () => shared.getMembers(),
      getStatus: () => ({
        id: settings.id,
        generation: shared.getGeneration(),
        inFlight: this.scheduling.getRequestCount(),
        stopping: this.isStopping,
        scheduler: this.scheduler.getSnapshot(),
      }),
      metrics: this.metrics,
      onFault: (error) => this.logFault('serve operators', error),
    });
  }
}
