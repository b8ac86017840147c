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
import { decodeAnswer, decodeRequest, encodeAnswer, encodeRequest } from '../codec/messageCodec.js';
import type { CoreEffect, CoreMessage } from '../coreMessages.js';
import type { ZoneLoad } from '../LoadDigests/LoadDigests.js';
import type { DaemonIdentity, Member } from '../Member.js';
import { getAddress } from '../Member.js';
import type { PeerAnswer, PeerRequest, ServiceLoad } from '../messages.js';
import { PlatformTask } from './PlatformEffectRunner.js';

/** The mesh topics, apart so that their bytes are counted apart. */
enum Topic {
  Membership = 'membership',
  Configuration = 'configuration',
}

function getTopic({ kind }: PeerRequest): Topic {
  const isFetch = kind === 'fetch-manifest' || kind === 'fetch-parts';
  return isFetch ? Topic.Configuration : Topic.Membership;
}

/**
 * What a manager is given.
 *
 * @public
 */
export interface ClusterSettings {
  self: DaemonIdentity;
  clock: Clock;
  random: Random;
  mesh: Mesh;
  store: PlatformStore;
  instanceList: InstanceList;
  /** Mesh addresses of daemons to ask first. */
  seeds: readonly { host: string; port: number }[];
  /** Values that differ from the defaults. */
  options?: Partial<ClusterOptions>;
  /** Called with every decision, for the log. */
  onEvent?: (decision: ClusterEvent) => void;
}

type Call = Extract<CoreEffect, { kind: 'call' }>;

/**
 * The task around the cluster's core: carries its calls over the mesh and to the platform, and
 * tells its listeners what changed.
 *
 * @example
 * ```ts
 * const cluster = new ClusterManager({ self, clock, random, mesh, store, instanceList, seeds });
 * cluster.onConfiguration(({ configuration }) => table.replace(configuration));
 * cluster.start();
 * ```
 * @public
 */
export class ClusterManager {
  private readonly core: ClusterCore;

  private readonly platform: PlatformTask;

  private readonly replies = new Map<number, (answer: PeerAnswer) => void>();

  private readonly memberListeners: ((members: Member[]) => void)[] = [];

  private readonly configurationListeners: ((inForce: ConfigurationSnapshot) => void)[] = [];

  private readonly leavingListeners: ((replica: string, span: Milliseconds) => void)[] = [];

  private lastRequestId = 0;

  private disposed = false;

  constructor(private readonly settings: ClusterSettings) {
    const { self, clock, random, store, instanceList, seeds, options } = settings;
    this.core = new ClusterCore({
      self,
      clock,
      random,
      options: { ...defaultClusterOptions, ...options },
      seeds: seeds.map(({ host, port }) => getAddress(host, port)),
      emit: (effect) => this.carryOut(effect),
    });
    this.platform = new PlatformTask({
      clock,
      store,
      instanceList,
      deliver: (message) => this.deliver(message),
    });
  }

  /** Begins to take part; the mesh must listen by then. */
  start(): void {
    Object.values(Topic).forEach((topic) =>
      this.settings.mesh.handle(topic, async (message, { from }) =>
        encodeAnswer(await this.answer(message, from)),
      ),
    );
    this.core.start();
  }

  /** All members but the dead, this daemon first. */
  getMembers(): Member[] {
    return this.core.getMembers();
  }

  /** This daemon as the others see it. */
  getLocalMember(): Member {
    return this.core.getMembers()[0]!;
  }

  /** The generation in force here; 0 before the first. */
  getGeneration(): number {
    return this.core.generation;
  }

  /** The newest load of each availability zone. */
  getLoadDigests(): ZoneLoad[] {
    return this.core.getLoads();
  }

  getCounters(): Readonly<ClusterCounters> {
    return this.core.counters;
  }

  /** Calls back after each change of the members. */
  onMembersChange(listener: (members: Member[]) => void): void {
    this.memberListeners.push(listener);
  }

  /** Calls back with each configuration that comes into force here. */
  onConfigurationChange(listener: (inForce: ConfigurationSnapshot) => void): void {
    this.configurationListeners.push(listener);
  }

  /** Calls back on word that a backend server is leaving, with how long the word holds. */
  onReplicaLeaving(listener: (replica: string, span: Milliseconds) => void): void {
    this.leavingListeners.push(listener);
  }

  /** Tells the others that this daemon shuts down: it gets no new duties. */
  announceLeaving(): void {
    this.deliver({ kind: 'announce-leaving' });
  }

  /** Tells the others that a backend server said it is leaving. */
  announceReplicaLeaving(replica: string): void {
    this.deliver({ kind: 'tell-replica-leaving', replica });
  }

  /** Hands in this daemon's load for its zone's sum. */
  publishLoad(services: ServiceLoad[]): void {
    this.deliver({ kind: 'publish-load', services });
  }

  dispose(): void {
    this.disposed = true;
    this.platform.dispose();
    this.core.dispose();
    this.replies.clear();
  }

  private answer(message: unknown, from: string): Promise<PeerAnswer> {
    const request = decodeRequest(message, from);
    this.lastRequestId += 1;
    const requestId = this.lastRequestId;
    return new Promise((resolve) => {
      this.replies.set(requestId, resolve);
      this.deliver({ kind: 'request', requestId, from, request });
    });
  }

  private carryOut(effect: CoreEffect): void {
    switch (effect.kind) {
      case 'call':
        this.call(effect);
        break;
      case 'reply':
        this.replies.get(effect.requestId)?.(effect.answer);
        this.replies.delete(effect.requestId);
        break;
      case 'members':
        this.tellMembers();
        break;
      case 'configuration':
        this.configurationListeners.forEach((listener) => listener(effect.inForce));
        break;
      case 'replica-leaving':
        this.leavingListeners.forEach((listener) => listener(effect.replica, effect.remaining));
        break;
      case 'decision':
        this.settings.onEvent?.(effect.decision);
        break;
      case 'start-watch':
      case 'end-watch':
      case 'read-manifest':
      case 'read-parts':
      case 'read-instances':
        this.platform.carryOut(effect);
        break;
      default:
        throw exhaustiveSwitchError(effect);
    }
  }

  private tellMembers(): void {
    const members = this.getMembers();
    this.memberListeners.forEach((listener) => listener(members));
  }

  private call({ callId, address, request, timeout }: Call): void {
    this.settings.mesh
      .call(address, getTopic(request), encodeRequest(request), { timeout })
      .then((answer) => decodeAnswer(answer, address))
      .then(
        (answer) => this.deliver({ kind: 'answer', callId, answer }),
        () => this.deliver({ kind: 'call-failed', callId }),
      );
  }

  /** After the end nothing reaches the core any more: answers may still be on their way. */
  private deliver(message: CoreMessage): void {
    if (!this.disposed) {
      this.core.handle(message);
    }
  }
}
