import type { Clock, Milliseconds, Random, Timer } from '@apricotrill/utils';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { ClusterCounters } from '../ClusterCounters.js';
import type { ClusterOptions } from '../clusterOptions.js';
import type { CoreMessage, EmitEffect } from '../coreMessages.js';
import type { ZoneLoad } from '../LoadDigests/LoadDigests.js';
import type { DaemonIdentity, Member } from '../Member.js';
import { CoreComponents } from './CoreComponents.js';

/** Changes of the view within this time are handled together. */
const VIEW_UPDATE_DELAY: Milliseconds = 50;

export interface ClusterCoreSettings {
  self: DaemonIdentity;
  clock: Clock;
  random: Random;
  options: ClusterOptions;
  /** Mesh addresses of the daemons to contact first. */
  seeds: readonly string[];
  emit: EmitEffect;
}

/**
 * Cluster membership and configuration distribution of one daemon, without I/O: it takes messages
 * and emits effects. Each component handles one concern; this class dispatches messages to the
 * components and updates the daemon's duties after the view of the members has changed.
 */
export class ClusterCore {
  private readonly components: CoreComponents;

  private viewUpdateTimer: Timer | undefined;

  private joinGraceTimer: Timer | undefined;

  private hasJoinGraceEnded = false;

  constructor(private readonly settings: ClusterCoreSettings) {
    this.components = new CoreComponents(settings, () => this.scheduleViewUpdate());
  }

  get counters(): Readonly<ClusterCounters> {
    return this.components.context.counters;
  }

  /** The active configuration generation; 0 before the first one. */
  get generation(): number {
    return this.components.distributor.getGeneration();
  }

  /** Whether this daemon is one of its availability zone's store watchers. */
  get isWatching(): boolean {
    return this.components.watcher.isWatching;
  }

  /** Whether this daemon considers its own network at fault. */
  get isCutOff(): boolean {
    return this.components.membership.localHealth.isCutOff;
  }

  /** Number of members that are not dead, including this daemon. */
  get memberCount(): number {
    return this.components.membership.size;
  }

  /** All members that are not dead, this daemon first. */
  getMembers(): Member[] {
    return this.components.membership.getMembers(this.generation);
  }

  /** The latest load of each availability zone. */
  getZoneLoads(): ZoneLoad[] {
    return this.components.loads.getZoneLoads();
  }

  /**
   * Starts to look for peers, to probe them, and to watch the store if that is this daemon's duty.
   */
  start(): void {
    const { membership, prober, regionReachability, antiEntropy, listMonitor } = this.components;
    membership.announceSelf();
    prober.start();
    regionReachability.start();
    antiEntropy.start();
    listMonitor.start();
    const { clock, options } = this.settings;
    this.joinGraceTimer = clock.setTimer(options.joinGracePeriod, () => {
      this.hasJoinGraceEnded = true;
      this.scheduleViewUpdate();
    });
    this.updateView();
  }

  handle(message: CoreMessage): void {
    this.components.membership.detectPause();
    this.dispatch(message);
  }

  dispose(): void {
    this.viewUpdateTimer?.cancel();
    this.joinGraceTimer?.cancel();
    const { prober, regionReachability, antiEntropy, listMonitor, watcher, loads } =
      this.components;
    const { gossiper, calls, distributor, membership } = this.components;
    [
      prober,
      regionReachability,
      antiEntropy,
      listMonitor,
      watcher,
      loads,
      gossiper,
      calls,
      distributor,
      membership,
    ].forEach((component) => component.dispose());
  }

  private dispatch(message: CoreMessage): void {
    const { calls, listMonitor, loads, membership, notices, requestHandler, distributor, watcher } =
      this.components;
    switch (message.kind) {
      case 'request':
        requestHandler.handleRequest(message.requestId, message.from, message.request);
        break;
      case 'answer':
        calls.settle(message.callId, message.response);
        break;
      case 'call-failed':
        calls.settle(message.callId, undefined);
        break;
      case 'watch-completed':
        membership.localHealth.recordPlatformResponse();
        watcher.handleChanges(message.watchId, message.changes);
        break;
      case 'watch-failed':
        watcher.handleWatchFailure(message.watchId);
        break;
      case 'manifest-read':
        membership.localHealth.recordPlatformResponse();
        watcher.handleManifest(message.text, message.version);
        break;
      case 'parts-read':
        distributor.handleStoreParts(message.readId, message.parts);
        break;
      case 'parts-read-failed':
        distributor.handleStoreParts(message.readId, new Map());
        break;
      case 'instances-read':
        membership.localHealth.recordPlatformResponse();
        listMonitor.handleInstances(message.instances);
        break;
      case 'manifest-read-failed':
      case 'instances-read-failed':
        break;
      case 'announce-leaving':
        membership.self.leave();
        break;
      case 'announce-replica-leaving':
        notices.reportLeaving(message.replica);
        break;
      case 'publish-load':
        loads.publish(message.services);
        break;
      default:
        throw exhaustiveSwitchError(message);
    }
  }

  private scheduleViewUpdate(): void {
    this.viewUpdateTimer ??= this.settings.clock.setTimer(VIEW_UPDATE_DELAY, () =>
      this.updateView(),
    );
  }

  private updateView(): void {
    this.viewUpdateTimer?.cancel();
    this.viewUpdateTimer = undefined;
    this.components.duties.update(this.getMembers());
    this.updateWatchDuty();
    this.settings.emit({ kind: 'members' });
  }

  private updateWatchDuty(): void {
    const { duties, membership, watcher } = this.components;
    const { watchRank } = duties;
    // Every daemon knows no peers at first. If each took the duty then, a restart of all daemons
    // would flood the store.
    const mayTakeDuties = this.hasJoinGraceEnded || membership.size > 1;
    // A daemon that is cut off from its peers gets no updates, but it may still reach the store.
    const isNeeded = watchRank >= 0 || membership.localHealth.isCutOff;
    watcher.setEnabled(mayTakeDuties && isNeeded, watchRank);
  }
}
