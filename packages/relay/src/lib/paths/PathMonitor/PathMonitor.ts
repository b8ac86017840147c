import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import type { RelayLog } from '../../observe/RelayEvent.js';
import type { RelayMetrics } from '../../observe/RelayMetrics.js';
import type { ConnectionListener } from '../../upstream/UpstreamConnections/UpstreamConnections.js';
import { getConnectionFailure } from '../ConnectionFailure.js';
import { PathTable } from '../PathTable/PathTable.js';

/** Dependencies of {@link PathMonitor}. */
export interface PathMonitorParts {
  clock: Clock;
  log: RelayLog;
  metrics: RelayMetrics;
}

/** Observes the paths from this daemon to the replicas. */
export class PathMonitor implements ConnectionListener {
  private readonly table = new PathTable();

  private listedCount = 0;

  constructor(private readonly parts: PathMonitorParts) {}

  /** Number of replicas to which the last connection could not be opened. */
  get failingCount(): number {
    return this.table.failingCount;
  }

  /** Time since any replica last sent something; 0 before the first time. */
  get silence(): Milliseconds {
    return this.table.getSilence(this.parts.clock.now()) ?? 0;
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
      const { failingCount: failing, listedCount: listed, silence } = this;
      const { message } = error;
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

  /** Records that a replica has sent something. */
  recordContact(): void {
    this.table.recordContact(this.parts.clock.now());
  }

  retain(replicas: ReadonlySet<string>): void {
    this.listedCount = replicas.size;
    this.table.retain(replicas);
  }
}
