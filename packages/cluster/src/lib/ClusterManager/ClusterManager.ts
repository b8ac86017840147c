import type { ConfigurationSnapshot } from '@apricotrill/configuration';
import type { Mesh } from '@apricotrill/mesh';
import type { InstanceList, PlatformStore } from '@apricotrill/store';
import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import { ClusterCore } from '../ClusterCore/ClusterCore.js';
import type { ClusterCounters } from '../ClusterCounters.js';
import type { ClusterEvent } from '../ClusterEvent.js';
import { defaultClusterOptions } from '../clusterOptions.js';
import type { ClusterOptions } from '../clusterOptions.js';
import {
  decodeResponse,
  decodeRequest,
  encodeResponse,
  encodeRequest,
} from '../codec/messageCodec.js';
import type { CoreEffect, CoreMessage } from '../coreMessages.js';
import type { ZoneLoad } from '../LoadDigests/LoadDigests.js';
import type { DaemonIdentity, Member } from '../Member.js';
import { getAddress } from '../Member.js';
import type { PeerResponse, PeerRequest, ServiceLoad } from '../messages.js';
import { PlatformEffectRunner } from './PlatformEffectRunner.js';

/** The mesh topics. Traffic is counted by topic. */
enum Topic {
  Membership = 'membership',
  Configuration = 'configuration',
}

function getTopic({ kind }: PeerRequest): Topic {
  const isFetch = kind === 'fetch-manifest' || kind === 'fetch-parts';
  return isFetch ? Topic.Configuration : Topic.Membership;
}

/** @public */
export interface ClusterSettings {
  self: DaemonIdentity;
  clock: Clock;
  random: Random;
  mesh: Mesh;
  store: PlatformStore;
  instanceList: InstanceList;
  /** Mesh addresses of the daemons to contact first. */
  seeds: readonly { host: string; port: number }[];
  /** Overrides of the default options. */
  options?: Partial<ClusterOptions>;
  /** Called with each event for the log. */
  onEvent?: (event: ClusterEvent) => void;
}

type CallEffect = Extract<CoreEffect, { kind: 'call' }>;

/**
 * Runs the cluster core of this daemon: sends its calls over the mesh and to the platform, and
 * notifies listeners of changes.
 *
 * @example
 * ```ts
 * const cluster = new ClusterManager({ self, clock, random, mesh, store, instanceList, seeds });
 * cluster.onConfigurationChange(({ configuration }) => table.replace(configuration));
 * cluster.start();
 * ```
 * @public
 */
export class ClusterManager {
  private readonly core: ClusterCore;

  private readonly platformEffects: PlatformEffectRunner;

  private readonly pendingRequests = new Map<number, (response: PeerResponse) => void>();

  private readonly memberListeners: ((members: Member[]) => void)[] = [];

  private readonly configurationListeners: ((snapshot: ConfigurationSnapshot) => void)[] = [];

  private readonly replicaLeavingListeners: ((replica: string, remaining: Milliseconds) => void)[] =
    [];

  private lastRequestId = 0;

  private isDisposed = false;

  constructor(private readonly settings: ClusterSettings) {
    const { self, clock, random, store, instanceList, seeds, options } = settings;
    this.core = new ClusterCore({
      self,
      clock,
      random,
      options: { ...defaultClusterOptions, ...options },
      seeds: seeds.map(({ host, port }) => getAddress(host, port)),
      emit: (effect) => this.runEffect(effect),
    });
    this.platformEffects = new PlatformEffectRunner({
      clock,
      store,
      instanceList,
      deliver: (message) => this.deliver(message),
    });
  }

  /** Joins the cluster. The mesh must be listening already. */
  start(): void {
    Object.values(Topic).forEach((topic) =>
      this.settings.mesh.handle(topic, async (message, { from }) =>
        encodeResponse(await this.handleRequest(message, from)),
      ),
    );
    this.core.start();
  }

  /** All members that are not dead, this daemon first. */
  getMembers(): Member[] {
    return this.core.getMembers();
  }

  /** This daemon as the others see it. */
  getLocalMember(): Member {
    return this.core.getMembers()[0]!;
  }

  /** The active configuration generation of this daemon; 0 before the first one. */
  getGeneration(): number {
    return this.core.generation;
  }

  /** The latest load of each availability zone. */
  getZoneLoads(): ZoneLoad[] {
    return this.core.getZoneLoads();
  }

  getCounters(): Readonly<ClusterCounters> {
    return this.core.counters;
  }

  /** Adds a listener that is called after each change of the members. */
  onMembersChange(listener: (members: Member[]) => void): void {
    this.memberListeners.push(listener);
  }

  /** Adds a listener that is called with each configuration that becomes active here. */
  onConfigurationChange(listener: (snapshot: ConfigurationSnapshot) => void): void {
    this.configurationListeners.push(listener);
  }

  /**
   * Adds a listener that is called with each notice that a backend server is leaving, and with how
   * long the notice is still valid.
   */
  onReplicaLeaving(listener: (replica: string, remaining: Milliseconds) => void): void {
    this.replicaLeavingListeners.push(listener);
  }

  /**
   * Announces to the peers that this daemon is shutting down, so that it is given no new duties.
   */
  announceLeaving(): void {
    this.deliver({ kind: 'announce-leaving' });
  }

  /** Announces to the peers that a backend server reported that it is leaving. */
  announceReplicaLeaving(replica: string): void {
    this.deliver({ kind: 'announce-replica-leaving', replica });
  }

  /** Reports this daemon's load, to be summed up for its availability zone. */
  publishLoad(services: ServiceLoad[]): void {
    this.deliver({ kind: 'publish-load', services });
  }

  dispose(): void {
    this.isDisposed = true;
    this.platformEffects.dispose();
    this.core.dispose();
    this.pendingRequests.clear();
  }

  private handleRequest(message: unknown, from: string): Promise<PeerResponse> {
    const request = decodeRequest(message, from);
    this.lastRequestId += 1;
    const requestId = this.lastRequestId;
    return new Promise((resolve) => {
      this.pendingRequests.set(requestId, resolve);
      this.deliver({ kind: 'request', requestId, from, request });
    });
  }

  private runEffect(effect: CoreEffect): void {
    switch (effect.kind) {
      case 'call':
        this.call(effect);
        break;
      case 'reply':
        this.pendingRequests.get(effect.requestId)?.(effect.response);
        this.pendingRequests.delete(effect.requestId);
        break;
      case 'members':
        this.notifyMemberListeners();
        break;
      case 'configuration':
        this.configurationListeners.forEach((listener) => listener(effect.snapshot));
        break;
      case 'replica-leaving':
        this.replicaLeavingListeners.forEach((listener) =>
          listener(effect.replica, effect.remaining),
        );
        break;
      case 'decision':
        this.settings.onEvent?.(effect.event);
        break;
      case 'start-watch':
      case 'end-watch':
      case 'read-manifest':
      case 'read-parts':
      case 'read-instances':
        this.platformEffects.run(effect);
        break;
      default:
        throw exhaustiveSwitchError(effect);
    }
  }

  private notifyMemberListeners(): void {
    const members = this.getMembers();
    this.memberListeners.forEach((listener) => listener(members));
  }

  private call({ callId, address, request, timeout }: CallEffect): void {
    this.settings.mesh
      .call(address, getTopic(request), encodeRequest(request), { timeout })
      .then((message) => decodeResponse(message, address))
      .then(
        (response) => this.deliver({ kind: 'answer', callId, response }),
        () => this.deliver({ kind: 'call-failed', callId }),
      );
  }

  /** Passes a message to the core unless disposed; results of calls may still arrive after that. */
  private deliver(message: CoreMessage): void {
    if (!this.isDisposed) {
      this.core.handle(message);
    }
  }
}
