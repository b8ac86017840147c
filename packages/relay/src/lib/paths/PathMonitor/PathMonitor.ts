import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import { ProbeResult } from '../../decide/messages.js';
import type { RelayLog } from '../../observe/RelayEvent.js';
import type { RelayMetrics } from '../../observe/RelayMetrics.js';
import type { ConnectionListener } from '../../upstream/UpstreamConnections/UpstreamConnections.js';
import { ConnectionFailure, getConnectionFailure } from '../ConnectionFailure.js';
import { pathOptions } from '../pathOptions.js';
import type { ProbeOutcome } from '../PathProber/PathProber.js';
import { CheckResult, isReached } from '../ReplicaCheck/ReplicaCheck.js';
import { PathTable } from '../PathTable/PathTable.js';
import { SilenceWatch } from '../SilenceWatch/SilenceWatch.js';
import type { WatchedAttempt } from '../SilenceWatch/SilenceWatch.js';

/** Dependencies of {@link PathMonitor}. */
export interface PathMonitorParts {
  clock: Clock;
  log: RelayLog;
  metrics: RelayMetrics;
  check: (replica: RelayReplica) => Promise<CheckResult>;
  /** Like `check`, but shares no check that has already begun. */
  checkAnew: (replica: RelayReplica) => Promise<CheckResult>;
  /** Called when a replica has sent something over a connection of this daemon. */
  onContact: (replica: string) => void;
  /** Finds out whether a replica or only the path to it is at fault. */
  probe: (replica: RelayReplica) => Promise<ProbeOutcome>;
  /** Called when the open connections to these replicas carry nothing any more. */
  onSilent: (replicas: ReadonlySet<string>) => void;
  onIsolationChanged: (isIsolated: boolean) => void;
}

/** Observes the paths from this daemon to the replicas, and finds out which of them are lost. */
export class PathMonitor implements ConnectionListener {
  private readonly table = new PathTable();

  private readonly silenceWatch: SilenceWatch;

  private replicas = new Map<string, RelayReplica>();

  /** Replicas whose open connections carry nothing any more, by ID. */
  private readonly silenced = new Set<string>();

  private recoveryTimer: Timer | undefined;

  /** Position in the list of lost replicas from which the next probes are taken. */
  private nextProbe = 0;

  private isDisposed = false;

  constructor(private readonly parts: PathMonitorParts) {
    this.silenceWatch = new SilenceWatch({
      clock: parts.clock,
      log: parts.log,
      getSilence: () => this.silence,
      probe: (replica) => this.probe(replica),
    });
  }

  /** Number of replicas to which the last connection could not be opened. */
  get failingCount(): number {
    return this.table.failingCount;
  }

  /** Number of replicas that other daemons reach and this one does not. */
  get lostCount(): number {
    return this.table.lostCount;
  }

  /** Time since any replica last sent something; 0 before the first time. */
  get silence(): Milliseconds {
    return this.table.getSilence(this.parts.clock.now()) ?? 0;
  }

  /** Whether this daemon reaches no replica, though others do. */
  get isIsolated(): boolean {
    return this.table.isIsolated;
  }

  isLost(replica: string): boolean {
    return this.table.isLost(replica);
  }

  /**
   * Whether a replica may be reachable for other daemons although this one can't open a connection. A
   * replica that doesn't answer while others do is more likely to be down.
   */
  isDoubtful({ id }: RelayReplica, error: Error): boolean {
    const hasContact = this.silence < pathOptions.maxSilence;
    const hasTimedOut = getConnectionFailure(error) === ConnectionFailure.Timeout;
    return this.isLost(id) || !hasTimedOut || !hasContact;
  }

  onOpened({ id, service }: RelayReplica): void {
    const { clock, log, metrics } = this.parts;
    metrics.connectionsOpened.inc({ service });
    const after = this.table.recordOpened(id, clock.now());
    if (after !== undefined) {
      log({ event: 'connections-restored', replica: id, service, after });
    }
  }

  onFailed({ id, service }: RelayReplica, error: Error): void {
    const { clock, log, metrics } = this.parts;
    const failure = getConnectionFailure(error);
    metrics.connectionFailures.inc({ service, failure });
    if (this.table.recordFailure(id, clock.now())) {
      const { message } = error;
      const { silence } = this;
      const { failingCount: failing, listedCount: listed } = this.table;
      log({
        event: 'connections-failing',
        replica: id,
        service,
        failure,
        error: message,
        silence,
        failing,
        listed,
      });
    }
  }

  /** Records that a replica has sent something over a connection of this daemon. */
  recordContact(replica: string): void {
    this.table.recordContact(this.parts.clock.now());
    this.parts.onContact(replica);
  }

  /**
   * Records that a replica could not be connected to, but responded through another daemon later. The path is
   * lost if this daemon still can't reach it.
   */
  async recordReachedByPeer(replica: RelayReplica, error: Error): Promise<void> {
    const isUp = isReached(await this.parts.checkAnew(replica)) === true;
    if (!isUp && !this.isDisposed) {
      this.handleLoss(replica, getConnectionFailure(error));
    }
  }

  /** Watches an attempt for silence until it has ended. */
  watch(attempt: WatchedAttempt): void {
    this.silenceWatch.add(attempt);
  }

  unwatch(attempt: WatchedAttempt): void {
    this.silenceWatch.remove(attempt);
  }

  /** Finds out whether a replica or only the path to it is at fault. */
  async probe(replica: RelayReplica): Promise<ProbeResult> {
    const { result, own } = await this.parts.probe(replica);
    if (result === ProbeResult.PathLost && !this.isDisposed) {
      this.handleLoss(
        replica,
        own === false ? ConnectionFailure.Refused : ConnectionFailure.Timeout,
      );
    }
    return result;
  }

  setReplicas(replicas: readonly RelayReplica[]): void {
    this.replicas = new Map(replicas.map((replica) => [replica.id, replica]));
    this.table.retain(new Set(this.replicas.keys()));
    [...this.silenced]
      .filter((id) => !this.replicas.has(id))
      .forEach((id) => this.silenced.delete(id));
  }

  dispose(): void {
    this.isDisposed = true;
    this.recoveryTimer?.cancel();
    this.silenceWatch.dispose();
  }

  private handleLoss({ id, service }: RelayReplica, failure: ConnectionFailure): void {
    const { clock, log, metrics, onSilent } = this.parts;
    const { isNew, isIsolationLikely } = this.table.recordLost(id, clock.now());
    if (!isNew) {
      return;
    }
    metrics.pathsLost.inc({ service });
    log({ event: 'path-lost', replica: id, service, failure });
    // A connection that neither opens nor fails shows that open connections carry nothing either.
    if (failure === ConnectionFailure.Timeout) {
      this.silenced.add(id);
      onSilent(new Set([id]));
    }
    if (isIsolationLikely) {
      this.confirmIsolation(failure).catch((error: unknown) => {
        log({ event: 'fault', step: 'probe for isolation', error: String(error) });
      });
    }
    this.scheduleRecovery();
  }

  /**
   * Probes some of the other replicas, and counts this daemon as isolated if it reaches none. Replicas that
   * other daemons don't reach either may be silent, and prove nothing.
   */
  private async confirmIsolation(failure: ConnectionFailure): Promise<void> {
    const { clock, log, onIsolationChanged, probe } = this.parts;
    const others = [...this.replicas.values()].filter(({ id }) => !this.table.isLost(id));
    const probed = others.slice(0, pathOptions.isolationProbes);
    const results = await Promise.all(
      probed.map(async (replica) => {
        const { result } = await probe(replica);
        if (result === ProbeResult.Up) {
          this.table.recordReached(replica.id, clock.now());
        }
        return result;
      }),
    );
    const isContradicted =
      results.includes(ProbeResult.Up) || results.includes(ProbeResult.Unknown);
    if (this.isDisposed || isContradicted || !this.table.confirmIsolation(clock.now())) {
      return;
    }
    const { lostCount: lost, listedCount: listed } = this.table;
    log({ event: 'isolated', lost, listed, silence: this.silence });
    onIsolationChanged(true);
    if (failure === ConnectionFailure.Timeout) {
      this.replicas.forEach((_replica, id) => this.silenced.add(id));
      this.reportSilence(this.silenced);
    }
  }

  private scheduleRecovery(): void {
    if (this.isDisposed) {
      return;
    }
    this.recoveryTimer ??= this.parts.clock.setTimer(pathOptions.recoveryInterval, () => {
      this.recover()
        .catch((error: unknown) => {
          this.parts.log({ event: 'fault', step: 'probe lost paths', error: String(error) });
        })
        .finally(() => {
          this.recoveryTimer = undefined;
          if (this.table.lostReplicas.length > 0 || this.isIsolated) {
            this.scheduleRecovery();
          }
        });
    });
  }

  /** Probes some of the replicas whose paths are lost; a single one while this daemon is isolated. */
  private async recover(): Promise<void> {
    const { lostReplicas } = this.table;
    const known = lostReplicas.length > 0 ? lostReplicas : [...this.replicas.keys()];
    const count = Math.min(known.length, this.isIsolated ? 1 : pathOptions.recoveryProbes);
    const ids = Array.from(
      { length: count },
      (_item, index) => known[(this.nextProbe + index) % known.length]!,
    );
    this.nextProbe += count;
    await Promise.all(
      ids
        .flatMap((id) => this.replicas.get(id) ?? [])
        .map(async (replica) => {
          const result = await this.parts.check(replica);
          // A replica that allows few checks would otherwise stay lost.
          const isUp = result === CheckResult.Responds || result === CheckResult.Accepts;
          this.handleRecoveryProbe(replica, isUp);
        }),
    );
  }

  /** Attempts that could not be replaced when their path was lost may be now. */
  private reportSilence(replicas: Iterable<string>): void {
    const silenced = [...replicas].filter((id) => this.silenced.has(id));
    if (silenced.length > 0) {
      this.parts.onSilent(new Set(silenced));
    }
  }

  private handleRecoveryProbe({ id, service }: RelayReplica, isUp: boolean): void {
    const { clock, log, onIsolationChanged } = this.parts;
    const { restoredAfter, isolatedFor } = this.table.recordProbe(id, isUp, clock.now());
    if (!isUp) {
      this.reportSilence(this.isIsolated ? this.silenced : [id]);
    }
    if (restoredAfter !== undefined) {
      this.silenced.delete(id);
    }
    if (restoredAfter !== undefined) {
      log({ event: 'path-restored', replica: id, service, after: restoredAfter });
    }
    if (isolatedFor !== undefined) {
      this.silenced.clear();
      log({ event: 'isolation-ended', after: isolatedFor });
      onIsolationChanged(false);
    }
  }
}
