import { ClaimManager } from '@apricotrill/claims';
import type { ClaimMember, ClaimMessage, ClaimReply } from '@apricotrill/claims';
import { ClusterManager } from '@apricotrill/cluster';
import type { Member } from '@apricotrill/cluster';
import { Mesh } from '@apricotrill/mesh';
import type { Configuration, Settings } from '@apricotrill/model';
import { HttpEngineOrders, PlacementManager } from '@apricotrill/placement';
import { HttpInstanceList, HttpPlatformStore } from '@apricotrill/platform';
import type { PlatformStore } from '@apricotrill/platform';
import type { Clock, Random } from '@apricotrill/utils';
import type { SharedState, SharedStateListener } from '../daemon/SharedState.js';
import type { DecisionLog } from '../observe/DecisionLog.js';
import { routerOptions } from '../options.js';
import { ClaimAdapter } from './ClaimAdapter.js';

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

  private readonly cluster: ClusterManager;

  private readonly claimManager: ClaimManager;

  private placement: PlacementManager | undefined;

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
    });
    this.cluster = this.createCluster();
    this.claimManager = this.createClaims();
    this.claims = new ClaimAdapter(this.claimManager, clock);
  }

  async start(listener: SharedStateListener): Promise<void> {
    const { settings } = this.parts;
    this.mesh.handle(CLAIM_TOPIC, (message, { from }) =>
      this.claimManager.handle(from, message as ClaimMessage),
    );
    this.cluster.onMembers((members) => {
      this.claimManager.onMembersChanged();
      const eligible = members.filter(({ isEligible }) => isEligible).map(({ id }) => id);
      listener.onDaemons(settings.id, eligible);
    });
    this.cluster.onReplicaLeaving((replica, span) => listener.onReplicaLeaving(replica, span));
    this.cluster.onConfiguration(({ configuration, manifest }) => {
      this.configuration = configuration;
      listener.onConfiguration(configuration, manifest.generation);
      this.placement?.handleConfigurationChange();
    });
    await this.mesh.listen();
    this.cluster.start();
    this.placement = this.createPlacement(this.store);
  }

  tellReplicaLeaving(replica: string): void {
    this.cluster.tellReplicaLeaving(replica);
  }

  getMembers(): unknown {
    const members = this.cluster.getMembers().map((member) => ({
      id: member.id,
      availabilityZone: member.availabilityZone,
      state: member.state,
      generation: member.generation,
      isEligible: member.isEligible,
    }));
    return { self: this.parts.settings.id, generation: this.getGeneration(), members };
  }

  getGeneration(): number {
    return this.cluster.getGeneration();
  }

  announceLeaving(): void {
    this.cluster.announceLeaving();
  }

  /**
   * Leases first, since another daemon can hold them at once; then the claim shards, cleanly, so
   * that their next owners need no witness.
   */
  async handOver(): Promise<void> {
    await this.placement?.release();
    const rest = await this.claimManager.handOver(routerOptions.handOverTimeout);
    this.parts.log('claim', { event: 'handed-over', ...rest });
  }

  dispose(): Promise<void> {
    this.placement?.dispose();
    this.claimManager.dispose();
    this.cluster.dispose();
    this.mesh.dispose();
    return Promise.all([this.store.dispose(), this.instanceList.dispose()]).then(() => undefined);
  }

  private createCluster(): ClusterManager {
    const { settings, clock, random, log } = this.parts;
    const { id, region, availabilityZone, host, port, meshPort, adminPort, seeds } = settings;
    return new ClusterManager({
      self: { id, region, availabilityZone, host, port, meshPort, adminPort },
      clock,
      random,
      mesh: this.mesh,
      store: this.store,
      instanceList: this.instanceList,
      seeds,
      onDecision: (decision) =>
        log(decision.kind.startsWith('configuration') ? 'configuration' : 'membership', decision),
    });
  }

  private createClaims(): ClaimManager {
    const { settings, clock, log } = this.parts;
    const self = this.cluster.getSelf();
    return new ClaimManager({
      self: getClaimMember(self),
      clock,
      store: this.store,
      transport: {
        call: (peer, message) =>
          this.mesh.call(peer.address, CLAIM_TOPIC, message, {
            timeout: routerOptions.claimCallTimeout,
          }) as Promise<ClaimReply>,
      },
      getMembers: () =>
        this.cluster
          .getMembers()
          .filter(({ isEligible, id }) => isEligible || id === settings.id)
          .map(getClaimMember),
      onDecision: (decision) => log('claim', decision),
    });
  }

  private createPlacement(store: PlatformStore): PlacementManager {
    const { settings, clock, random, log } = this.parts;
    return new PlacementManager({
      self: settings.id,
      clock,
      random,
      store,
      engines: new HttpEngineOrders(clock),
      getConfiguration: () => this.configuration,
      getMembers: () =>
        this.cluster
          .getMembers()
          .filter(({ isEligible }) => isEligible)
          .map(({ id }) => id),
      onDecision: (decision) => log('placement', decision),
    });
  }
}
