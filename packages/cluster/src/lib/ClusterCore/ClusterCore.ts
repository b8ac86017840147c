import type { Clock, Milliseconds, Random, Timer } from '@apricotrill/utils';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { ClusterCounters } from '../ClusterCounters.js';
import type { ClusterOptions } from '../clusterOptions.js';
import type { CoreMessage, EmitEffect } from '../coreMessages.js';
import type { ZoneLoad } from '../LoadDigests/LoadDigests.js';
import type { DaemonIdentity, Member } from '../Member.js';
import { CoreParts } from './CoreComponents.js';

/** Changes of the view within so long have their consequences drawn once. */
const VIEW_DELAY: Milliseconds = 50;

/** What a core is made of. */
export interface CoreSettings {
  self: DaemonIdentity;
  clock: Clock;
  random: Random;
  options: ClusterOptions;
  /** Mesh addresses of daemons to ask first. */
  seeds: readonly string[];
  emit: EmitEffect;
}

/**
 * Membership and the spread of configuration of one daemon, without I/O: messages in, effects out.
 * The parts under it own one concern each; this class hands each message to the part it is for and
 * draws the consequences of a changed view.
 */
export class ClusterCore {
  private readonly parts: CoreParts;

  private viewTimer: Timer | undefined;

  private graceTimer: Timer | undefined;

  private isSettled = false;

  constructor(private readonly settings: CoreSettings) {
    this.parts = new CoreParts(settings, () => this.noteChange());
  }

  get counters(): Readonly<ClusterCounters> {
    return this.parts.context.counters;
  }

  /** The generation in force; 0 before the first one. */
  get generation(): number {
    return this.parts.spread.getGeneration();
  }

  /** Whether this daemon is one of its zone's watchers at the store. */
  get isWatching(): boolean {
    return this.parts.watcher.isWatching;
  }

  /** Whether this daemon takes its own network to be at fault. */
  get isCutOff(): boolean {
    return this.parts.membership.experience.isCutOff;
  }

  /** How many members there are but the dead, this daemon among them. */
  get memberCount(): number {
    return this.parts.membership.size;
  }

  /** All members but the dead, this daemon first. */
  getMembers(): Member[] {
    return this.parts.membership.getMembers(this.generation);
  }

  /** The newest load of each availability zone. */
  getLoads(): ZoneLoad[] {
    return this.parts.loads.getLoads();
  }

  /** Starts to look for peers, to probe, and to watch if it falls to this daemon. */
  start(): void {
    const { membership, prober, regions, antiEntropy, list } = this.parts;
    membership.tellSelf();
    prober.start();
    regions.start();
    antiEntropy.start();
    list.start();
    const { clock, options } = this.settings;
    this.graceTimer = clock.setTimer(options.joinGrace, () => {
      this.isSettled = true;
      this.noteChange();
    });
    this.followChange();
  }

  handle(message: CoreMessage): void {
    this.parts.membership.noticePause();
    this.dispatch(message);
  }

  dispose(): void {
    this.viewTimer?.cancel();
    this.graceTimer?.cancel();
    const { prober, regions, antiEntropy, list, watcher, loads } = this.parts;
    const { spreader, calls, spread, membership } = this.parts;
    [
      prober,
      regions,
      antiEntropy,
      list,
      watcher,
      loads,
      spreader,
      calls,
      spread,
      membership,
    ].forEach((part) => part.dispose());
  }

  private dispatch(message: CoreMessage): void {
    const { calls, list, loads, membership, notices, requests, spread, watcher } = this.parts;
    switch (message.kind) {
      case 'request':
        requests.handle(message.requestId, message.from, message.request);
        break;
      case 'answer':
        calls.settle(message.callId, message.answer);
        break;
      case 'call-failed':
        calls.settle(message.callId, undefined);
        break;
      case 'watch-answered':
        membership.experience.recordPlatform();
        watcher.hearChanges(message.watchId, message.changes);
        break;
      case 'watch-failed':
        watcher.hearWatchFailure(message.watchId);
        break;
      case 'manifest-read':
        membership.experience.recordPlatform();
        watcher.hearManifest(message.text, message.version);
        break;
      case 'parts-read':
        spread.hearStoreParts(message.readId, message.parts);
        break;
      case 'parts-read-failed':
        spread.hearStoreParts(message.readId, new Map());
        break;
      case 'instances-read':
        membership.experience.recordPlatform();
        list.take(message.instances);
        break;
      case 'manifest-read-failed':
      case 'instances-read-failed':
        break;
      case 'announce-leaving':
        membership.self.leave();
        break;
      case 'tell-replica-leaving':
        notices.report(message.replica);
        break;
      case 'publish-load':
        loads.publish(message.services);
        break;
      default:
        throw exhaustiveSwitchError(message);
    }
  }

  private noteChange(): void {
    this.viewTimer ??= this.settings.clock.setTimer(VIEW_DELAY, () => this.followChange());
  }

  private followChange(): void {
    this.viewTimer?.cancel();
    this.viewTimer = undefined;
    this.parts.duties.update(this.getMembers());
    this.assignWatch();
    this.settings.emit({ kind: 'members' });
  }

  private assignWatch(): void {
    const { duties, membership, watcher } = this.parts;
    const { watchRank } = duties;
    // Everybody is alone at first: if all took the duty, a restart of all would flood the store.
    const mayTakeDuties = this.isSettled || membership.size > 1;
    // A daemon that reaches nobody hears of nothing, but it may still reach the store.
    const isNeeded = watchRank >= 0 || membership.experience.isCutOff;
    watcher.setDuty(mayTakeDuties && isNeeded, watchRank);
  }
}
