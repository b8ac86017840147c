import type { Instance } from '@apricotrill/store';
import { InstanceRole, InstanceState } from '@apricotrill/store';
import type { Milliseconds, Timer } from '@apricotrill/utils';
import { DeathCause } from '../ClusterEvent.js';
import type { CoreContext } from '../CoreContext.js';
import { emitEvent, addJitter } from '../CoreContext.js';
import { getAddress, isRunning, MemberState } from '../Member.js';
import type { Membership } from '../Membership/Membership.js';

/** Approximate size of an instance in the JSON of the list. */
const APPROXIMATE_INSTANCE_BYTES = 130;

const MILLISECONDS_PER_SECOND = 1000;

/** A member must be missing from this many reads in a row, since the list lags behind. */
const MIN_MISSING_READS = 2;

/** This many reads in a row without this daemon are not explained by the lag of the list. */
const MIN_DISTRUSTED_READS = 3;

interface InstanceListMonitorSettings {
  context: CoreContext;
  membership: Membership;
  /** Whether this daemon reads the list for its availability zone. */
  isListReader: () => boolean;
  isRegionReachable: (region: string) => boolean;
  onReplicaLeaving: (replica: string) => void;
  /** Called with the addresses of the listed daemons. */
  onDaemonAddresses: (addresses: string[]) => void;
}

/**
 * Polls the platform's instance list. The list lags behind, so it is trusted on three things only:
 * where daemons may be running, which backend servers are leaving, and that an unlisted daemon
 * which does not respond either is gone for good.
 */
export class InstanceListMonitor {
  private timer: Timer | undefined;

  private listedCount = 0;

  /** Number of consecutive reads without the member, by id. */
  private readonly missingReads = new Map<string, number>();

  /** Number of consecutive reads without this daemon itself. */
  private distrustedReads = 0;

  constructor(private readonly settings: InstanceListMonitorSettings) {}

  start(): void {
    this.poll();
  }

  handleInstances(instances: readonly Instance[]): void {
    this.listedCount = instances.length;
    const daemons = instances.filter(({ role }) => role === InstanceRole.Daemon);
    this.settings.onDaemonAddresses(daemons.map(({ host, port }) => getAddress(host, port)));
    instances
      .filter(({ role }) => role === InstanceRole.BackendServer)
      .filter(({ state }) => state === InstanceState.Leaving)
      .forEach(({ id }) => this.settings.onReplicaLeaving(id));
    if (this.isTrusted(daemons)) {
      this.declareUnlistedDead(new Set(daemons.map(({ id }) => id)));
    }
  }

  dispose(): void {
    this.timer?.cancel();
  }

  private poll(): void {
    const { context, membership } = this.settings;
    this.timer = context.clock.setTimer(addJitter(context, this.getInterval()), () => this.poll());
    const isAlone = membership.size === 1;
    if (isAlone || this.settings.isListReader() || membership.localHealth.isCutOff) {
      context.counters.listReads += 1;
      context.emit({ kind: 'read-instances' });
    }
  }

  /**
   * A list without this daemon itself is outdated or broken. If it were trusted, all daemons that
   * are slow to respond could be declared dead.
   */
  private isTrusted(daemons: readonly Instance[]): boolean {
    const selfId = this.settings.membership.self.get().id;
    const isTrusted = daemons.some(({ id }) => id === selfId);
    this.distrustedReads = isTrusted ? 0 : this.distrustedReads + 1;
    if (this.distrustedReads === MIN_DISTRUSTED_READS) {
      emitEvent(this.settings.context, { kind: 'list-distrusted', instances: daemons.length });
    }
    return isTrusted;
  }

  private declareUnlistedDead(listedIds: ReadonlySet<string>): void {
    const { membership } = this.settings;
    [...membership.table.values()]
      .map(({ record }) => record)
      .filter(({ state }) => isRunning(state))
      .forEach(({ id, region, state }) => {
        const reads = listedIds.has(id) ? 0 : (this.missingReads.get(id) ?? 0) + 1;
        this.missingReads.set(id, reads);
        const isUnresponsive =
          state === MemberState.Suspect ||
          membership.localHealth.hasFailed(id) ||
          !this.settings.isRegionReachable(region);
        if (reads >= MIN_MISSING_READS && isUnresponsive) {
          membership.declareDead(id, DeathCause.Unlisted);
        }
      });
    this.missingReads.forEach((reads, id) => {
      if (reads === 0 || !isRunning(membership.table.get(id)?.record.state)) {
        this.missingReads.delete(id);
      }
    });
  }

  private getInterval(): Milliseconds {
    const { minListInterval, maxListBytesPerSecond } = this.settings.context.options;
    const bytes = this.listedCount * APPROXIMATE_INSTANCE_BYTES;
    return Math.max(minListInterval, (bytes / maxListBytesPerSecond) * MILLISECONDS_PER_SECOND);
  }
}
