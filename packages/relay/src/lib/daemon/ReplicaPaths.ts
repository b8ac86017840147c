import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { RelayReplica } from '../config/RelayConfiguration.js';
import { ForwarderTable } from '../forwarding/ForwarderTable/ForwarderTable.js';
import { FORWARDING_PATH, formatForwardedTarget } from '../forwarding/forwardingProtocol.js';
import { ForwardingServer } from '../forwarding/ForwardingServer/ForwardingServer.js';
import type { ForwardingServerParts } from '../forwarding/ForwardingServer/ForwardingServer.js';
import type { RelayLog } from '../observe/RelayEvent.js';
import type { RelayMetrics } from '../observe/RelayMetrics.js';
import { PathMonitor } from '../paths/PathMonitor/PathMonitor.js';
import type { PathMonitorParts } from '../paths/PathMonitor/PathMonitor.js';
import { PathProber } from '../paths/PathProber/PathProber.js';
import { pathOptions } from '../paths/pathOptions.js';
import type { PathUpdate } from '../paths/PathUpdate.js';
import {
  REACHABILITY_PATH,
  ReachabilityServer,
} from '../paths/ReachabilityServer/ReachabilityServer.js';
import { ReplicaCheck } from '../paths/ReplicaCheck/ReplicaCheck.js';
import type { ReplicaCheckParts } from '../paths/ReplicaCheck/ReplicaCheck.js';
import type { PeerEntry } from '../peers/PeerDirectory.js';
import type { PeerServer } from '../peers/PeerServer/PeerServer.js';
import type { RelayProtocol } from '../protocol/RelayProtocol.js';
import { AttemptSender } from '../transport/AttemptSender.js';
import { isListening } from '../upstream/isListening.js';
import { EndConfirmation } from '../upstream/EndConfirmation/EndConfirmation.js';
import type { IdentifyReplica } from '../upstream/EndConfirmation/ReplicaIdentity.js';
import type { ResponseHead } from '../upstream/UpstreamExchange/UpstreamExchange.js';
import { UpstreamConnections } from '../upstream/UpstreamConnections/UpstreamConnections.js';

/** Dependencies of {@link ReplicaPaths}. */
export interface ReplicaPathsParts
  extends
    Pick<
      ForwardingServerParts,
      'findReplica' | 'getMaxBodyBytes' | 'isStopping' | 'maySend' | 'memory' | 'onNotice'
    >,
    Pick<PathMonitorParts, 'onSilent'>,
    ReplicaCheckParts {
  clock: Clock;
  log: RelayLog;
  metrics: RelayMetrics;
  protocol: RelayProtocol;
  self: PeerEntry;
  peerServer: PeerServer;
  identify: IdentifyReplica;
  /** Called when a replica has sent something; at most once in {@link pathOptions.contactInterval}. */
  onContact: (replica: string) => void;
  /** Sends an update to all other daemons. */
  share: (update: PathUpdate) => void;
}

/** Where to send a request for an API of a replica itself. */
export interface ReplicaEndpoint {
  /** IP address and port. */
  address: string;
  path: string;
}

/**
 * The paths from this daemon to the replicas: direct ones, and those through other daemons. The other
 * daemons use this one in the same way.
 */
export class ReplicaPaths {
  readonly connections: UpstreamConnections;

  readonly paths: PathMonitor;

  readonly sender: AttemptSender;

  private readonly forwarderConnections: UpstreamConnections<PeerEntry>;

  private readonly forwarders: ForwarderTable;

  private readonly forwardingServer: ForwardingServer;

  private readonly prober: PathProber;

  /** When contact with each replica was last reported. */
  private readonly contactReportedAt = new Map<string, Milliseconds>();

  constructor(private readonly parts: ReplicaPathsParts) {
    const { clock, log, metrics, self, peerServer, findReplica, onSilent, share } = parts;
    this.forwarders = new ForwarderTable({ self, clock });
    const listener = { onOpened: () => undefined, onFailed: () => undefined };
    this.forwarderConnections = new UpstreamConnections<PeerEntry>(listener, clock);
    const replicaCheck = new ReplicaCheck(parts);
    const check = (replica: RelayReplica) => replicaCheck.run(replica);
    const checkAnew = (replica: RelayReplica) => replicaCheck.runAnew(replica);
    this.prober = new PathProber({
      clock,
      log,
      check,
      checkAnew,
      getPeers: (count) => this.forwarders.getPeers(count),
    });
    this.paths = new PathMonitor({
      clock,
      log,
      metrics,
      check,
      checkAnew,
      onContact: (replica) => {
        replicaCheck.recordContact(replica);
        this.reportContact(replica);
      },
      probe: (replica) => this.prober.probe(replica),
      onSilent: (replicas) => {
        replicas.forEach((id) => this.connections.closeIdle(id));
        onSilent(replicas);
      },
      onIsolationChanged: (isIsolated) => share({ kind: 'isolation', isIsolated }),
    });
    this.connections = new UpstreamConnections(this.paths, clock);
    const endConfirmation = new EndConfirmation({
      ...parts,
      isListening: ({ address }) => isListening(address, pathOptions.probeTimeout),
      hasConnectionSince: ({ id }, time) => this.connections.hasOpenSince(id, time),
    });
    const confirmEnd = (replica: RelayReplica, head: ResponseHead) =>
      endConfirmation.confirm(replica, head);
    const { connections, forwarderConnections, forwarders, paths } = this;
    this.sender = new AttemptSender({
      clock,
      log,
      metrics,
      connections,
      forwarderConnections,
      paths,
      confirmEnd,
      forwarders,
    });
    const isIsolated = () => this.paths.isIsolated;
    this.forwardingServer = new ForwardingServer({
      ...parts,
      confirmEnd,
      connections,
      isIsolated,
    });
    const reachability = new ReachabilityServer({ findReplica, check, isIsolated });
    peerServer.addHandler(FORWARDING_PATH, this.forwardingServer.handler);
    peerServer.addHandler(REACHABILITY_PATH, reachability.handler);
  }

  /** Whether attempts can be sent: directly, or through another daemon. */
  get isUsable(): boolean {
    return !this.paths.isIsolated || this.forwarders.isAvailable;
  }

  /** Number of attempts that this daemon is forwarding for others. */
  get forwardedCount(): number {
    return this.forwardingServer.inFlight;
  }

  setReplicas(replicas: readonly RelayReplica[]): void {
    const listed = new Set(replicas.map(({ id }) => id));
    this.connections.retain(listed);
    [...this.contactReportedAt.keys()]
      .filter((id) => !listed.has(id))
      .forEach((id) => this.contactReportedAt.delete(id));
    this.paths.setReplicas(replicas);
  }

  /** Sets the live daemons, including this one. */
  setFleet(daemons: readonly PeerEntry[]): void {
    this.forwarders.setFleet(daemons);
    this.forwarderConnections.retain(new Set(daemons.map(({ id }) => id)));
  }

  /** Records whether another daemon reaches any replica. */
  recordPeerIsolation(peer: string, isIsolated: boolean): void {
    if (this.forwarders.recordIsolation(peer, isIsolated)) {
      this.parts.log({ event: 'peer-isolated', peer, isIsolated });
    }
  }

  /** Returns what each regular message repeats, since datagrams can be lost. */
  getPeriodicUpdates(): PathUpdate[] {
    return this.paths.isIsolated ? [{ kind: 'isolation', isIsolated: true }] : [];
  }

  /** Where to call an API of a replica itself: at the replica, or through another daemon. */
  getEndpoint({ id, address }: RelayReplica, path: string): ReplicaEndpoint {
    const forwarder = this.paths.isLost(id) ? this.forwarders.choose(new Set()) : undefined;
    return forwarder === undefined
      ? { address, path }
      : {
          address: forwarder.address,
          path: formatForwardedTarget({ replica: id, target: path }),
        };
  }

  private reportContact(replica: string): void {
    const { clock, onContact } = this.parts;
    const now = clock.now();
    const last = this.contactReportedAt.get(replica) ?? Number.NEGATIVE_INFINITY;
    if (now - last >= pathOptions.contactInterval) {
      this.contactReportedAt.set(replica, now);
      onContact(replica);
    }
  }

  async dispose(): Promise<void> {
    this.paths.dispose();
    await Promise.all([
      this.connections.dispose(),
      this.forwarderConnections.dispose(),
      this.prober.dispose(),
    ]);
  }
}
