import type { KeyFiles } from '@apricotrill/keys';
import type { Configuration, Settings } from '@apricotrill/model';
import { Scheduler } from '@apricotrill/policy';
import type { LoadReport } from '@apricotrill/policy';
import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import { AdminServer } from '../observe/AdminServer.js';
import type { DecisionLog } from '../observe/DecisionLog.js';
import { RouterMetrics } from '../observe/RouterMetrics.js';
import { routerOptions } from '../options.js';
import { CallerServer } from '../pipeline/CallerServer.js';
import { RoutingTable } from '../pipeline/RoutingTable.js';
import { RequestRunner } from '../request/RequestRunner.js';
import { SchedulingTask } from '../request/SchedulingTask.js';
import { LoadPoller } from '../upstream/LoadPoller.js';
import { ReplicaConnections } from '../upstream/ReplicaConnections.js';
import { LeavingReplicas } from './LeavingReplicas/LeavingReplicas.js';
import type { DaemonPorts, SharedState } from './SharedState.js';

/**
 * What a daemon is made of.
 *
 * @internal
 */
export interface RouterDaemonParts {
  settings: Settings;
  clock: Clock;
  random: Random;
  shared: SharedState;
  log: DecisionLog;
  /** The keys for TLS; plain connections when absent. */
  keys?: KeyFiles;
}

/**
 * One router daemon: joins the scheduler, the sockets around it and what the daemons share, and
 * owns the order in which they start and stop.
 *
 * @internal
 */
export class RouterDaemon {
  private readonly parts: RouterDaemonParts;

  private readonly metrics = new RouterMetrics();

  private readonly connections = new ReplicaConnections();

  private readonly scheduling: SchedulingTask;

  private readonly scheduler: Scheduler;

  private readonly leaving: LeavingReplicas;

  private readonly poller: LoadPoller;

  private readonly callers: CallerServer;

  private readonly admin: AdminServer;

  private table: RoutingTable | undefined;

  private stopping = false;

  constructor(parts: RouterDaemonParts) {
    this.parts = parts;
    const { clock, random, log } = parts;
    parts.shared.addMetrics?.(this.metrics.registry);
    this.scheduling = new SchedulingTask(log);
    this.scheduler = new Scheduler({
      clock,
      random,
      emit: (effect) => this.scheduling.perform(effect),
    });
    this.scheduling.attach(this.scheduler);
    this.leaving = new LeavingReplicas(clock, {
      onLeaving: (replica) => this.scheduler.handle({ kind: 'replica-leaving', replica }),
      onReturned: (replica) => this.scheduler.handle({ kind: 'replica-returned', replica }),
    });
    this.poller = this.createPoller();
    this.callers = this.createCallerServer();
    this.admin = this.createAdminServer();
  }

  /** Starts to listen; callers are served once a configuration is in force. */
  async start(): Promise<DaemonPorts & { meshPort?: number }> {
    const { settings, shared, keys } = this.parts;
    await keys?.load();
    const adminPort = await this.admin.listen(settings.host, settings.adminPort);
    const port = await this.callers.listen();
    const listener = {
      onConfiguration: (configuration: Configuration, generation: number) =>
        this.putInForce(configuration, generation),
      onDaemons: (self: string, daemons: string[]) =>
        this.scheduler.handle({ kind: 'daemons', self, daemons }),
      onReplicaLeaving: (replica: string, span: Milliseconds) =>
        this.leaving.noteWord(replica, span),
    };
    const meshPort = (await shared.start(listener, { port, adminPort })) ?? undefined;
    return { port, adminPort, meshPort };
  }

  /**
   * Ends gracefully: the readiness answer turns first, so that the balancer sends no more; whoever
   * still comes in the meantime is served; every request in flight ends in its own time.
   */
  async stop(): Promise<void> {
    const { clock, log, shared } = this.parts;
    if (this.stopping) {
      return;
    }
    this.stopping = true;
    log('daemon', { event: 'draining', inFlight: this.scheduling.getSize() });
    shared.announceLeaving();
    await new Promise<void>((resolve) => {
      clock.setTimer(routerOptions.drainNotice, resolve);
    });
    // A request that is still being read or claimed is in no queue yet, but on a connection.
    await this.callers.close();
    await this.scheduling.waitUntilIdle();
    this.scheduler.handle({ kind: 'drain' });
    await shared.handOver();
    await this.dispose();
    log('daemon', { event: 'stopped' });
  }

  /** Ends at once; requests in flight are cut off. */
  async dispose(): Promise<void> {
    this.stopping = true;
    this.poller.dispose();
    this.leaving.dispose();
    this.callers.dispose();
    this.admin.dispose();
    this.scheduler.dispose();
    await this.connections.dispose();
    await this.parts.shared.dispose();
    this.parts.keys?.dispose();
  }

  private putInForce(configuration: Configuration, generation: number): void {
    this.table = new RoutingTable(configuration);
    const { replicas } = configuration.register;
    this.scheduler.handle({ kind: 'replicas', replicas });
    this.poller.setReplicas(replicas);
    this.connections.retain(replicas);
    this.metrics.setGeneration(generation);
    this.parts.log('configuration', { event: 'in-force', generation });
  }

  private noteLoad(report: LoadReport): void {
    this.poller.hear(report.replica);
    this.scheduler.handle({ kind: 'load-report', report });
  }

  private noteLeaving(replica: string): void {
    this.leaving.noteItself(replica);
    this.parts.shared.tellReplicaLeaving(replica);
  }

  private createPoller(): LoadPoller {
    return new LoadPoller(this.parts.clock, this.parts.random, {
      onReport: (report) => this.scheduler.handle({ kind: 'load-report', report }),
      onLeaving: (replica) => this.noteLeaving(replica),
      onReturned: (replica) => this.leaving.noteReturned(replica),
    });
  }

  private createCallerServer(): CallerServer {
    const { settings, clock, log, shared } = this.parts;
    const { limits, host, port } = settings;
    const { connections, scheduling, metrics } = this;
    const runner = new RequestRunner({
      clock,
      connections,
      scheduling,
      metrics,
      log,
      onLoad: (report) => this.noteLoad(report),
      onReplicaLeaving: (replica) => this.noteLeaving(replica),
    });
    const context = {
      clock,
      limits: { maxBodyBytes: limits.maxBodyBytes, bodyTimeout: limits.bodyTimeoutMs },
      getTable: () => this.table,
      claims: shared.claims,
      runner,
      connections,
      log,
    };
    return new CallerServer(context, {
      host,
      port,
      headersTimeout: limits.headersTimeoutMs,
      keys: this.parts.keys,
    });
  }

  private createAdminServer(): AdminServer {
    const { shared, settings } = this.parts;
    return new AdminServer({
      isReady: () => this.table !== undefined && !this.stopping,
      getMembers: () => shared.getMembers(),
      getStatus: () => ({
        id: settings.id,
        generation: shared.getGeneration(),
        inFlight: this.scheduling.getSize(),
        stopping: this.stopping,
        scheduler: this.scheduler.getSnapshot(),
      }),
      metrics: this.metrics,
    });
  }
}
