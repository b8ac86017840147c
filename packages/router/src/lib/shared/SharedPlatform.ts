import { ClaimManager, MemberStanding } from '@apricotrill/claims';
import type { ClaimMember, ClaimMessage, ClaimResponse } from '@apricotrill/claims';
import { ClusterManager, MemberState } from '@apricotrill/cluster';
import type { Member } from '@apricotrill/cluster';
import type { KeySource } from '@apricotrill/keys';
import { MANIFEST_KEY, parseManifest } from '@apricotrill/configuration';
import { Mesh } from '@apricotrill/mesh';
import type { Configuration, Settings } from '@apricotrill/model';
import { HttpEngineClient, PlacementManager } from '@apricotrill/placement';
import { HttpInstanceList, HttpPlatformStore } from '@apricotrill/store';
import type { Clock, Random } from '@apricotrill/utils';
import type { Registry } from 'prom-client';
import type { DaemonPorts, SharedState, SharedStateListener } from '../daemon/SharedState.js';
import { addControlMetrics } from '../observe/addControlMetrics.js';
import type { DecisionLog } from '../observe/DecisionLog.js';
import { routerOptions } from '../options.js';
import { ClaimAdapter } from './ClaimAdapter.js';
import { FirstConfiguration } from './FirstConfiguration/FirstConfiguration.js';
import { getMemberView } from './MemberList.js';
import type { MemberList } from './MemberList.js';

/** The mesh topic of claims. */
const CLAIM_TOPIC = 'claim';

/**
 * What the shared state is made of.
 *
 * @internal
 */
export interface SharedPlatformParts {
  settings: Settings;
  clock: Clock;
  random: Random;
  log: DecisionLog;
  /** The keys for TLS between daemons; plain connections when absent. */
  keys?: KeySource;
  /** Where the others reach the mesh, when something in between translates ports. */
  announcedMeshPort?: number;
}

/** What there is once the daemon's own ports are known. */
interface Joined {
  cluster: ClusterManager;
  claimManager: ClaimManager;
  placement: PlacementManager;
  first: FirstConfiguration;
}

/**
 * What claims may expect of a member. Who gets no duties is not gone: one that shuts down still has
 * its shards and its requests, and one that is suspected may only be slow.
 */
function getStanding({ isEligible, isReachable, state }: Member): MemberStanding {
  if (isEligible) {
    return MemberStanding.Active;
  }
  return isReachable && state !== MemberState.Suspect
    ? MemberStanding.Passive
    : MemberStanding.Doubted;
}

function getClaimMember(member: Member): ClaimMember {
  const { id, incarnation, availabilityZone, address } = member;
  return { id, incarnation, availabilityZone, address };
}

/**
 * What a daemon shares with the others: membership and configuration by the cluster, claims, and
 * the orders to engines. It owns the mesh and the connections to the platform.
 *
 * @internal
 */
export class SharedPlatform implements SharedState {
  readonly claims: ClaimAdapter;

  private readonly parts: SharedPlatformParts;

  private readonly mesh: Mesh;

  private readonly store: HttpPlatformStore;

  private readonly instanceList: HttpInstanceList;

  private joined: Joined | undefined;

  private configuration: Configuration | undefined;

  constructor(parts: SharedPlatformParts) {
    this.parts = parts;
    const { settings, clock } = parts;
    const platform = { url: settings.platformUrl, timeout: routerOptions.platformTimeout };
    this.store = new HttpPlatformStore(platform);
    this.instanceList = new HttpInstanceList(platform);
    this.mesh = new Mesh({
      self: settings.id,
      host: settings.host,
      port: settings.meshPort,
      clock,
      keys: parts.keys,
    });
    this.claims = new ClaimAdapter(clock);
  }

  /**
   * The others are told the ports that are really listened at, so it joins only once they are
   * known.
   */
  async start(listener: SharedStateListener, ports: DaemonPorts): Promise<number> {
    const meshPort = await this.mesh.listen();
    const cluster = this.createCluster({ ...ports, meshPort });
    const claimManager = this.createClaims(cluster);
    this.claims.attach(claimManager);
    this.mesh.handle(CLAIM_TOPIC, (message, { from }) =>
      claimManager.handle(from, message as ClaimMessage),
    );
    const first = this.listen(listener, cluster, claimManager);
    const placement = this.createPlacement(cluster);
    this.joined = { cluster, claimManager, placement, first };
    cluster.start();
    return meshPort;
  }

  addMetrics(registry: Registry): void {
    addControlMetrics(registry, {
      getTraffic: () => this.mesh.traffic.getTopics(),
      getCluster: () => this.joined?.cluster.getCounters(),
      getStore: () => this.store.getCounters(),
    });
  }

  tellReplicaLeaving(replica: string): void {
    this.joined?.cluster.announceReplicaLeaving(replica);
  }

  getMembers(): MemberList {
    const members = this.joined?.cluster.getMembers() ?? [];
    return {
      self: this.parts.settings.id,
      generation: this.getGeneration(),
      members: members.map(getMemberView),
    };
  }

  getGeneration(): number {
    return this.joined?.first.generation ?? 0;
  }

  announceLeaving(): void {
    this.joined?.cluster.announceLeaving();
  }

  /**
   * Leases first, since another daemon can hold them at once; then the claim shards, cleanly, so
   * that their next owners need no witness.
   */
  async handOver(): Promise<void> {
    if (this.joined === undefined) {
      return;
    }
    const { placement, claimManager } = this.joined;
    await placement.release();
    const rest = await claimManager.handOver(routerOptions.handOverTimeout);
    this.parts.log('claim', { event: 'handed-over', ...rest });
  }

  dispose(): Promise<void> {
    this.joined?.first.dispose();
    this.joined?.placement.dispose();
    this.joined?.claimManager.dispose();
    this.joined?.cluster.dispose();
    this.mesh.dispose();
    return Promise.all([this.store.dispose(), this.instanceList.dispose()]).then(() => undefined);
  }

  private listen(
    listener: SharedStateListener,
    cluster: ClusterManager,
    claimManager: ClaimManager,
  ): FirstConfiguration {
    cluster.onMembersChange((members) => {
      claimManager.handleMembersChange();
      const eligible = members.filter(({ isEligible }) => isEligible).map(({ id }) => id);
      listener.onDaemons(this.parts.settings.id, eligible);
    });
    cluster.onReplicaLeaving((replica, span) => listener.onReplicaLeaving(replica, span));
    const first = new FirstConfiguration({
      clock: this.parts.clock,
      options: { grace: routerOptions.startGrace, limit: routerOptions.startLimit },
      release: ({ configuration, manifest }) => {
        this.configuration = configuration;
        listener.onConfiguration(configuration, manifest.generation);
        this.joined?.placement.handleConfigurationChange();
      },
    });
    cluster.onConfigurationChange((inForce) => first.offer(inForce));
    this.readAccepted(first).catch(() => undefined);
    return first;
  }

  /** Without an answer the grace decides. */
  private async readAccepted(first: FirstConfiguration): Promise<void> {
    const object = await this.store.get(MANIFEST_KEY);
    const manifest = object === undefined ? undefined : parseManifest(object.value);
    first.hearAccepted(manifest?.ok === true ? manifest.value.generation : 0);
  }

  private createCluster(ports: DaemonPorts & { meshPort: number }): ClusterManager {
    const { settings, clock, random, log, announcedMeshPort } = this.parts;
    const { id, region, availabilityZone, host, seeds } = settings;
    const meshPort = announcedMeshPort ?? ports.meshPort;
    return new ClusterManager({
      self: { id, region, availabilityZone, host, ...ports, meshPort },
      clock,
      random,
      mesh: this.mesh,
      store: this.store,
      instanceList: this.instanceList,
      seeds,
      onEvent: (decision) =>
        log(decision.kind.startsWith('configuration') ? 'configuration' : 'membership', decision),
    });
  }

  private createClaims(cluster: ClusterManager): ClaimManager {
    const { clock, log } = this.parts;
    return new ClaimManager({
      self: getClaimMember(cluster.getLocalMember()),
      clock,
      store: this.store,
      transport: {
        call: (peer, message) =>
          this.mesh.call(peer.address, CLAIM_TOPIC, message, {
            timeout: routerOptions.claimCallTimeout,
          }) as Promise<ClaimResponse>,
      },
      getMembers: () =>
        cluster
          .getMembers()
          .map((member) => ({ ...getClaimMember(member), standing: getStanding(member) })),
      onEvent: (decision) => log('claim', decision),
    });
  }

  private createPlacement(cluster: ClusterManager): PlacementManager {
    const { settings, clock, random, log } = this.parts;
    return new PlacementManager({
      self: settings.id,
      clock,
      random,
      store: this.store,
      engines: new HttpEngineClient(clock),
      getConfiguration: () => this.configuration,
      getMembers: () =>
        cluster
          .getMembers()
          .filter(({ isEligible }) => isEligible)
          .map(({ id }) => id),
      onEvent: (decision) => log('placement', decision),
    });
  }
}
