import { AntiEntropy } from '../AntiEntropy/AntiEntropy.js';
import { createClusterCounters } from '../ClusterCounters.js';
import { ConfigurationDistributor } from '../ConfigurationDistributor/ConfigurationDistributor.js';
import type { CoreContext } from '../CoreContext.js';
import { InstanceListMonitor } from '../InstanceListMonitor/InstanceListMonitor.js';
import { LoadDigests } from '../LoadDigests/LoadDigests.js';
import { getMeshAddress } from '../Member.js';
import { Membership } from '../Membership/Membership.js';
import type { PeerResponse, ServiceLoad } from '../messages.js';
import { PeerCalls } from '../PeerCalls/PeerCalls.js';
import { Prober } from '../Prober/Prober.js';
import { ProbeTargets } from '../ProbeTargets/ProbeTargets.js';
import { RegionReachability } from '../RegionReachability/RegionReachability.js';
import { ReplicaNotices } from '../ReplicaNotices/ReplicaNotices.js';
import { Gossiper } from '../Gossiper/Gossiper.js';
import { StoreWatcher } from '../StoreWatcher/StoreWatcher.js';
import type { ClusterCoreSettings } from './ClusterCore.js';
import { ZoneDuties } from './ZoneDuties.js';
import { PeerGossip } from './PeerGossip.js';
import { RequestHandler } from './RequestHandler.js';
import { RumourDispatcher } from './RumourDispatcher.js';

/** Creates the components of a core, each with one concern, and connects them. */
export class CoreComponents {
  readonly context: CoreContext;

  readonly calls: PeerCalls;

  readonly gossiper: Gossiper;

  readonly membership: Membership;

  readonly targets: ProbeTargets;

  readonly duties: ZoneDuties;

  readonly notices: ReplicaNotices;

  readonly loads: LoadDigests;

  readonly distributor: ConfigurationDistributor;

  readonly watcher: StoreWatcher;

  readonly regionReachability: RegionReachability;

  readonly prober: Prober;

  readonly antiEntropy: AntiEntropy;

  readonly listMonitor: InstanceListMonitor;

  readonly requestHandler: RequestHandler;

  private readonly peerGossip: PeerGossip;

  constructor(
    private readonly settings: ClusterCoreSettings,
    private readonly onChange: () => void,
  ) {
    const { self, options, emit, clock, random } = settings;
    this.context = { clock, random, options, emit, counters: createClusterCounters() };
    this.calls = new PeerCalls(emit);
    this.duties = new ZoneDuties(self, options);
    this.gossiper = this.createGossiper();
    this.membership = this.createMembership();
    this.targets = new ProbeTargets(self, this.membership.table, options);
    this.notices = new ReplicaNotices(this.context, (rumour) => this.gossiper.queueRumour(rumour));
    this.loads = this.createLoads();
    this.distributor = this.createDistributor();
    this.watcher = this.createWatcher();
    this.regionReachability = this.createRegionReachability();
    this.peerGossip = this.createPeerGossip();
    this.prober = this.createProber();
    this.antiEntropy = this.createAntiEntropy();
    this.listMonitor = this.createListMonitor();
    this.requestHandler = this.createRequestHandler();
  }

  private createGossiper(): Gossiper {
    return new Gossiper({
      context: this.context,
      getMemberCount: () => this.membership.size,
      sendGossip: () => this.peerGossip.sendGossip(this.context.options.gossipFanout),
    });
  }

  private createMembership(): Membership {
    return new Membership({
      context: this.context,
      identity: this.settings.self,
      queueRumour: (rumour) => this.gossiper.queueRumour(rumour),
      isRegionReachable: (region) => this.regionReachability.isReachable(region),
      isInOwnRegion: (member) => this.targets.isInOwnRegion(member),
      onChange: this.onChange,
    });
  }

  private createLoads(): LoadDigests {
    const { id, availabilityZone } = this.settings.self;
    return new LoadDigests({
      context: this.context,
      availabilityZone,
      announce: (rumour) => this.gossiper.queueShortLivedRumour(rumour),
      getZoneSize: () => this.duties.zoneSize,
      getReporter: () => (this.duties.reporter === id ? undefined : this.duties.reporter),
      sendLoad: (reporter, services) => this.sendLoad(reporter, services),
    });
  }

  private sendLoad(reporter: string, services: readonly ServiceLoad[]): void {
    const entry = this.membership.table.get(reporter);
    if (entry !== undefined) {
      const request = {
        kind: 'load',
        generation: this.distributor.getGeneration(),
        services,
      } as const;
      const { callTimeout } = this.context.options;
      this.calls.call(getMeshAddress(entry.record), request, callTimeout);
    }
  }

  private createDistributor(): ConfigurationDistributor {
    return new ConfigurationDistributor({
      context: this.context,
      calls: this.calls,
      pushGeneration: () => this.peerGossip.sendGossip(this.context.options.generationFanout),
    });
  }

  private createWatcher(): StoreWatcher {
    return new StoreWatcher({
      context: this.context,
      onManifest: (manifest) => this.distributor.handleStoreManifest(manifest),
    });
  }

  private createRegionReachability(): RegionReachability {
    return new RegionReachability({
      context: this.context,
      ownRegion: this.settings.self.region,
      targets: this.targets,
      probe: (member, onResult) => this.prober.probe(member, onResult),
      onChange: this.onChange,
    });
  }

  private createPeerGossip(): PeerGossip {
    const { context, calls, membership, targets, regionReachability, gossiper, distributor } = this;
    const rumourDispatcher = new RumourDispatcher(
      membership,
      this.notices,
      this.loads,
      context.counters,
    );
    return new PeerGossip({
      context,
      calls,
      membership,
      targets,
      regionReachability,
      gossiper,
      distributor,
      rumourDispatcher,
    });
  }

  private createProber(): Prober {
    const { context, membership, targets, calls, peerGossip } = this;
    return new Prober({
      context,
      membership,
      targets,
      calls,
      getGeneration: () => this.distributor.getGeneration(),
      takeRumours: () => peerGossip.takeRumours(),
      handleAck: (member, response) => peerGossip.handleResponse(member, response),
    });
  }

  private createAntiEntropy(): AntiEntropy {
    const { context, membership, calls, notices, distributor } = this;
    return new AntiEntropy({
      context,
      membership,
      calls,
      seeds: this.settings.seeds,
      getGeneration: () => distributor.getGeneration(),
      getNotices: () => notices.getNotices(),
      handleNotices: (received) => received.forEach((notice) => notices.handleNotice(notice)),
      handleGeneration: (generation, address) => distributor.handleGeneration(generation, address),
    });
  }

  private createListMonitor(): InstanceListMonitor {
    return new InstanceListMonitor({
      context: this.context,
      membership: this.membership,
      isListReader: () => this.duties.reporter === this.settings.self.id,
      isRegionReachable: (region) => this.regionReachability.isReachable(region),
      onReplicaLeaving: (replica) => this.notices.reportLeaving(replica),
      onDaemonAddresses: (addresses) => this.antiEntropy.setListedAddresses(addresses),
    });
  }

  private createRequestHandler(): RequestHandler {
    const { context, calls, peerGossip, distributor, antiEntropy, loads } = this;
    const reply = (requestId: number, response: PeerResponse) =>
      this.settings.emit({ kind: 'reply', requestId, response });
    return new RequestHandler({
      context,
      calls,
      peerGossip,
      distributor,
      antiEntropy,
      loads,
      reply,
    });
  }
}
