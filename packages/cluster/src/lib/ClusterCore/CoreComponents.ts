import { AntiEntropy } from '../AntiEntropy/AntiEntropy.js';
import { createClusterCounters } from '../ClusterCounters.js';
import { ConfigurationSpread } from '../ConfigurationDistributor/ConfigurationDistributor.js';
import type { CoreContext } from '../CoreContext.js';
import { ListJudge } from '../InstanceListMonitor/InstanceListMonitor.js';
import { LoadDigests } from '../LoadDigests/LoadDigests.js';
import { getMeshAddress } from '../Member.js';
import { Membership } from '../Membership/Membership.js';
import type { PeerAnswer, ServiceLoad } from '../messages.js';
import { PeerCalls } from '../PeerCalls/PeerCalls.js';
import { Prober } from '../Prober/Prober.js';
import { ProbeTargets } from '../ProbeTargets/ProbeTargets.js';
import { RegionReach } from '../RegionReachability/RegionReachability.js';
import { ReplicaNotices } from '../ReplicaNotices/ReplicaNotices.js';
import { Spreader } from '../Spreader/Spreader.js';
import { StoreWatcher } from '../StoreWatcher/StoreWatcher.js';
import type { CoreSettings } from './ClusterCore.js';
import { Duties } from './ZoneDuties.js';
import { PeerTalk } from './PeerGossip.js';
import { RequestHandler } from './RequestHandler.js';
import { RumourReader } from './RumourDispatcher.js';

/** The parts of a core, each with one concern, and how they are wired. */
export class CoreParts {
  readonly context: CoreContext;

  readonly calls: PeerCalls;

  readonly spreader: Spreader;

  readonly membership: Membership;

  readonly targets: ProbeTargets;

  readonly duties: Duties;

  readonly notices: ReplicaNotices;

  readonly loads: LoadDigests;

  readonly spread: ConfigurationSpread;

  readonly watcher: StoreWatcher;

  readonly regions: RegionReach;

  readonly prober: Prober;

  readonly antiEntropy: AntiEntropy;

  readonly list: ListJudge;

  readonly requests: RequestHandler;

  private readonly talk: PeerTalk;

  constructor(
    private readonly settings: CoreSettings,
    private readonly onChange: () => void,
  ) {
    const { self, options, emit, clock, random } = settings;
    this.context = { clock, random, options, emit, counters: createClusterCounters() };
    this.calls = new PeerCalls(emit);
    this.duties = new Duties(self, options);
    this.spreader = this.createSpreader();
    this.membership = this.createMembership();
    this.targets = new ProbeTargets(self, this.membership.table, options);
    this.notices = new ReplicaNotices(this.context, (rumour) => this.spreader.tell(rumour));
    this.loads = this.createLoads();
    this.spread = this.createSpread();
    this.watcher = this.createWatcher();
    this.regions = this.createRegions();
    this.talk = this.createTalk();
    this.prober = this.createProber();
    this.antiEntropy = this.createAntiEntropy();
    this.list = this.createList();
    this.requests = this.createRequests();
  }

  private createSpreader(): Spreader {
    return new Spreader({
      context: this.context,
      getSize: () => this.membership.size,
      push: () => this.talk.push(this.context.options.gossipFanout),
    });
  }

  private createMembership(): Membership {
    return new Membership({
      context: this.context,
      identity: this.settings.self,
      tell: (rumour) => this.spreader.tell(rumour),
      isRegionReachable: (region) => this.regions.isReachable(region),
      isOursToJudge: (member) => this.targets.isOursToJudge(member),
      onChange: this.onChange,
    });
  }

  private createLoads(): LoadDigests {
    const { id, availabilityZone } = this.settings.self;
    return new LoadDigests({
      context: this.context,
      availabilityZone,
      tell: (rumour) => this.spreader.tellBriefly(rumour),
      getZoneSize: () => this.duties.zoneSize,
      getReporter: () => (this.duties.reporter === id ? undefined : this.duties.reporter),
      send: (reporter, services) => this.sendLoad(reporter, services),
    });
  }

  private sendLoad(reporter: string, services: readonly ServiceLoad[]): void {
    const entry = this.membership.table.get(reporter);
    if (entry !== undefined) {
      const request = { kind: 'load', generation: this.spread.getGeneration(), services } as const;
      const { callTimeout } = this.context.options;
      this.calls.call(getMeshAddress(entry.record), request, callTimeout);
    }
  }

  private createSpread(): ConfigurationSpread {
    return new ConfigurationSpread({
      context: this.context,
      calls: this.calls,
      pushNews: () => this.talk.push(this.context.options.newsFanout),
    });
  }

  private createWatcher(): StoreWatcher {
    return new StoreWatcher({
      context: this.context,
      onManifest: (manifest) => this.spread.hearManifest(manifest),
    });
  }

  private createRegions(): RegionReach {
    return new RegionReach({
      context: this.context,
      ownRegion: this.settings.self.region,
      targets: this.targets,
      probe: (member, onResult) => this.prober.probe(member, onResult),
      onChange: this.onChange,
    });
  }

  private createTalk(): PeerTalk {
    const { context, calls, membership, targets, regions, spreader, spread } = this;
    const reader = new RumourReader(membership, this.notices, this.loads, context.counters);
    return new PeerTalk({
      context,
      calls,
      membership,
      targets,
      regions,
      spreader,
      spread,
      reader,
    });
  }

  private createProber(): Prober {
    const { context, membership, targets, calls, talk } = this;
    return new Prober({
      context,
      membership,
      targets,
      calls,
      getGeneration: () => this.spread.getGeneration(),
      takeRumours: () => talk.takeRumours(),
      hear: (member, answer) => talk.hearAnswer(member, answer),
    });
  }

  private createAntiEntropy(): AntiEntropy {
    const { context, membership, calls, notices, spread } = this;
    return new AntiEntropy({
      context,
      membership,
      calls,
      seeds: this.settings.seeds,
      getGeneration: () => spread.getGeneration(),
      getNotices: () => notices.getNotices(),
      hearNotices: (heard) => heard.forEach((notice) => notices.hear(notice)),
      hearGeneration: (generation, address) => spread.hearGeneration(generation, address),
    });
  }

  private createList(): ListJudge {
    return new ListJudge({
      context: this.context,
      membership: this.membership,
      isReader: () => this.duties.reporter === this.settings.self.id,
      isRegionReachable: (region) => this.regions.isReachable(region),
      onReplicaLeaving: (replica) => this.notices.report(replica),
      onDaemons: (addresses) => this.antiEntropy.setListed(addresses),
    });
  }

  private createRequests(): RequestHandler {
    const { context, calls, talk, spread, antiEntropy, loads } = this;
    const reply = (requestId: number, answer: PeerAnswer) =>
      this.settings.emit({ kind: 'reply', requestId, answer });
    return new RequestHandler({ context, calls, talk, spread, antiEntropy, loads, reply });
  }
}
