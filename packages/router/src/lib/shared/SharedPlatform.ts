import { ClaimManager, MemberStanding } from '@apricotrill/claims';
import type { ClaimMember, ClaimMessage, ClaimResponse } from '@apricotrill/claims';
import { ClusterManager, MemberState } from '@apricotrill/cluster';
import type { Member } from '@apricotrill/cluster';
import type { PortOpener } from '@apricotrill/lifecycle';
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
import { getErrorText } from '../observe/getErrorText.js';
import type { DecisionLog } from '../observe/DecisionLog.js';
import { defaultRouterOptions } from '../options.js';
import { ClaimAdapter } from './ClaimAdapter.js';
import { FirstConfiguration } from './FirstConfiguration/FirstConfiguration.js';
import { getMemberView } from './MemberList.js';
import type { MemberList } from './MemberList.js';

/** The mesh topic of claim messages. */
const CLAIM_TOPIC = 'claim';

/**
 * Dependencies of a {@link SharedPlatform}.
 *
 * @internal
 */
export interface SharedPlatformDependencies {
  settings: Settings;
  clock: Clock;
  random: Random;
  log: DecisionLog;
  /** Key and certificate for TLS between daemons; plain connections when absent. */
  keys?: KeySource;
  /** The port at which peers reach the mesh, if it differs because of port translation. */
  announcedMeshPort?: number;
}

/** What is created once the daemon's own ports are known. */
interface ClusterSession {
  cluster: ClusterManager;
  claimManager: ClaimManager;
  placement: PlacementManager;
  firstConfiguration: FirstConfiguration;
}

/**
 * Returns the standing of a member for claims. A member that gets no duties may still be running: one
 * that is shutting down still has its shards and its requests, and a suspected one may only be slow.
 */
function getStanding({ isEligible, isReachable, state }: Member): MemberStanding {
  if (isEligible) {
    return MemberStanding.Active;
  }
  return isReachable && state !== MemberState.Suspect
    ? MemberStanding.Passive
    : MemberStanding.Suspect;
}

function getClaimMember(member: Member): ClaimMember {
  const { id, incarnation, availabilityZone, address } = member;
  return { id, incarnation, availabilityZone, address };
}

/**
 * The state that a daemon shares with its peers: membership and configuration (by the cluster), claims
 * and placement. Owns the mesh and the connections to the platform.
 *
 * @internal
 */
export class SharedPlatform implements SharedState {
  readonly claims: ClaimAdapter;

  private readonly dependencies: SharedPlatformDependencies;

  private readonly mesh: Mesh;

  private readonly store: HttpPlatformStore;

  private readonly instanceList: HttpInstanceList;

  private session: ClusterSession | undefined;

  private configuration: Configuration | undefined;

  constructor(dependencies: SharedPlatformDependencies) {
    this.dependencies = dependencies;
    const { settings, clock } = dependencies;
    const platform = { url: settings.platformUrl, timeout: defaultRouterOptions.platformTimeout };
    this.store = new HttpPlatformStore(platform);
    this.instanceList = new HttpInstanceList(platform);
    this.mesh = new Mesh({
      self: settings.id,
      host: settings.host,
      port: settings.meshPort,
      clock,
      keys: dependencies.keys,
      onFault: (error) =>
        dependencies.log('daemon', { event: 'fault', step: 'mesh', error: getErrorText(error) }),
    });
    this.claims = new ClaimAdapter(clock);
  }

  /**
   * Joins the cluster once all ports are known: peers must be told the ports at which the daemon
   * actually listens.
   */
  async start(
    listener: SharedStateListener,
    ports: DaemonPorts,
    opener: PortOpener,
  ): Promise<number | undefined> {
    const meshPort = await opener.open('mesh', () => this.mesh.listen());
    if (meshPort === undefined) {
      return undefined;
    }
    const cluster = this.createCluster({ ...ports, meshPort });
    const claimManager = this.createClaims(cluster);
    this.claims.attach(claimManager);
    this.mesh.handle(CLAIM_TOPIC, (message, { from }) =>
      claimManager.handle(from, message as ClaimMessage),
    );
    const firstConfiguration = this.subscribe(listener, cluster, claimManager);
    const placement = this.createPlacement(cluster);
    this.session = { cluster, claimManager, placement, firstConfiguration };
    cluster.start();
    return meshPort;
  }

  addMetrics(registry: Registry): void {
    addControlMetrics(registry, {
      getTraffic: () => this.mesh.traffic.getTopics(),
      getCluster: () => this.session?.cluster.getCounters(),
      getStore: () => this.store.getCounters(),
    });
  }

  announceReplicaLeaving(replica: string): void {
    this.session?.cluster.announceReplicaLeaving(replica);
  }

  getMembers(): MemberList {
    const members = this.session?.cluster.getMembers() ?? [];
    return {
      self: this.dependencies.settings.id,
      generation: this.getGeneration(),
      members: members.map(getMemberView),
    };
  }

  countPeers(): number {
    const { id: self } = this.dependencies.settings;
    const members = this.session?.cluster.getMembers() ?? [];
    return members.filter(({ id, isEligible }) => id !== self && isEligible).length;
  }

  getGeneration(): number {
    return this.session?.firstConfiguration.generation ?? 0;
  }

  announceLeaving(): void {
    this.session?.cluster.announceLeaving();
  }

  /**
   * Releases the leases first, since another daemon can acquire them immediately, and then hands over
   * the claim shards in an orderly way, so that their next owners need no witness.
   */
  async handOver(): Promise<void> {
    if (this.session === undefined) {
      return;
    }
    const { placement, claimManager } = this.session;
    await placement.release();
    const result = await claimManager.handOver(defaultRouterOptions.handOverTimeout);
    this.dependencies.log('claim', { event: 'handed-over', ...result });
  }

  dispose(): Promise<void> {
    this.session?.firstConfiguration.dispose();
    this.session?.placement.dispose();
    this.session?.claimManager.dispose();
    this.session?.cluster.dispose();
    this.mesh.dispose();
    return Promise.all([this.store.dispose(), this.instanceList.dispose()]).then(() => undefined);
  }

  private subscribe(
    listener: SharedStateListener,
    cluster: ClusterManager,
    claimManager: ClaimManager,
  ): FirstConfiguration {
    cluster.onMembersChange((members) => {
      claimManager.handleMembersChange();
      const eligible = members.filter(({ isEligible }) => isEligible).map(({ id }) => id);
      listener.onDaemonsChange(this.dependencies.settings.id, eligible);
    });
    cluster.onReplicaLeaving((replica, validity) => listener.onReplicaLeaving(replica, validity));
    const firstConfiguration = new FirstConfiguration({
      clock: this.dependencies.clock,
      options: {
        acceptedGenerationTimeout: defaultRouterOptions.acceptedGenerationTimeout,
        timeout: defaultRouterOptions.firstConfigurationTimeout,
      },
      release: ({ configuration, manifest }) => {
        this.configuration = configuration;
        listener.onConfigurationChange(configuration, manifest.generation);
        this.session?.placement.handleConfigurationChange();
      },
    });
    cluster.onConfigurationChange((inForce) => firstConfiguration.offer(inForce));
    this.readAcceptedGeneration(firstConfiguration).catch(() => undefined);
    return firstConfiguration;
  }

  /** Reads the accepted generation from the store; if that fails, the timeout applies. */
  private async readAcceptedGeneration(firstConfiguration: FirstConfiguration): Promise<void> {
    const object = await this.store.get(MANIFEST_KEY);
    const manifest = object === undefined ? undefined : parseManifest(object.value);
    firstConfiguration.setAcceptedGeneration(manifest?.ok === true ? manifest.value.generation : 0);
  }

  private createCluster(ports: DaemonPorts & { meshPort: number }): ClusterManager {
    const { settings, clock, random, log, announcedMeshPort } = this.dependencies;
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
      onEvent: (event) =>
        log(event.kind.startsWith('configuration') ? 'configuration' : 'membership', event),
    });
  }

  private createClaims(cluster: ClusterManager): ClaimManager {
    const { clock, log } = this.dependencies;
    return new ClaimManager({
      self: getClaimMember(cluster.getLocalMember()),
      clock,
      store: this.store,
      transport: {
        call: (peer, message) =>
          this.mesh.call(peer.address, CLAIM_TOPIC, message, {
            timeout: defaultRouterOptions.claimCallTimeout,
          }) as Promise<ClaimResponse>,
      },
      getMembers: () =>
        cluster
          .getMembers()
          .map((member) => ({ ...getClaimMember(member), standing: getStanding(member) })),
      onEvent: (event) => log('claim', event),
    });
  }

  private createPlacement(cluster: ClusterManager): PlacementManager {
    const { settings, clock, random, log } = this.dependencies;
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
      onEvent: (event) => log('placement', event),
    });
  }
}
