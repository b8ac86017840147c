import type { Instance } from '@apricotrill/store';
import { InstanceRole, InstanceState } from '@apricotrill/store';
import type { Milliseconds, Timer } from '@apricotrill/utils';
import { DeathCause } from '../ClusterEvent.js';
import type { CoreContext } from '../CoreContext.js';
import { decide, jitter } from '../CoreContext.js';
import { getAddress, isRunning, MemberState } from '../Member.js';
import type { Membership } from '../Membership/Membership.js';

/** What an instance takes in the list's JSON, about. */
const INSTANCE_BYTES = 130;

const SECOND = 1000;

/** The list lags: a member must be missing from so many readings in a row. */
const TELLING_READINGS = 2;

/** So many readings without this daemon are more than the list's lag. */
const REPORTED_READINGS = 3;

interface ListJudgeParts {
  context: CoreContext;
  membership: Membership;
  /** Whether this daemon is the one of its zone that reads the list. */
  isReader: () => boolean;
  isRegionReachable: (region: string) => boolean;
  onReplicaLeaving: (replica: string) => void;
  /** Takes the addresses of the daemons listed. */
  onDaemons: (addresses: string[]) => void;
}

/**
 * Reads the platform's list of instances and judges what follows from it. The list lags, so it is
 * believed on three things only: where daemons may be found, which backend servers are leaving,
 * and that a daemon which does not answer anyway is gone for good.
 */
export class ListJudge {
  private timer: Timer | undefined;

  private listedCount = 0;

  private readonly missing = new Map<string, number>();

  /** Readings in a row without this daemon itself. */
  private distrusted = 0;

  constructor(private readonly parts: ListJudgeParts) {}

  start(): void {
    this.round();
  }

  take(instances: readonly Instance[]): void {
    this.listedCount = instances.length;
    const daemons = instances.filter(({ role }) => role === InstanceRole.Daemon);
    this.parts.onDaemons(daemons.map(({ host, port }) => getAddress(host, port)));
    instances
      .filter(({ role }) => role === InstanceRole.BackendServer)
      .filter(({ state }) => state === InstanceState.Leaving)
      .forEach(({ id }) => this.parts.onReplicaLeaving(id));
    if (this.isTrusted(daemons)) {
      this.judgeMissing(new Set(daemons.map(({ id }) => id)));
    }
  }

  dispose(): void {
    this.timer?.cancel();
  }

  private round(): void {
    const { context, membership } = this.parts;
    this.timer = context.clock.setTimer(jitter(context, this.getInterval()), () => this.round());
    const isAlone = membership.size === 1;
    if (isAlone || this.parts.isReader() || membership.experience.isCutOff) {
      context.counters.listReads += 1;
      context.emit({ kind: 'read-instances' });
    }
  }

  /**
   * A list without this daemon itself is an old or a broken one. Believed, it could have everybody
   * who is slow to answer taken for dead.
   */
  private isTrusted(daemons: readonly Instance[]): boolean {
    const self = this.parts.membership.self.get().id;
    const isTrusted = daemons.some(({ id }) => id === self);
    this.distrusted = isTrusted ? 0 : this.distrusted + 1;
    if (this.distrusted === REPORTED_READINGS) {
      decide(this.parts.context, { kind: 'list-distrusted', instances: daemons.length });
    }
    return isTrusted;
  }

  private judgeMissing(listed: ReadonlySet<string>): void {
    const { membership } = this.parts;
    [...membership.table.values()]
      .map(({ record }) => record)
      .filter(({ state }) => isRunning(state))
      .forEach(({ id, region, state }) => {
        const readings = listed.has(id) ? 0 : (this.missing.get(id) ?? 0) + 1;
        this.missing.set(id, readings);
        const isSilent =
          state === MemberState.Suspect ||
          membership.experience.hasFailed(id) ||
          !this.parts.isRegionReachable(region);
        if (readings >= TELLING_READINGS && isSilent) {
          membership.declareDead(id, DeathCause.Unlisted);
        }
      });
    this.missing.forEach((readings, id) => {
      if (readings === 0 || !isRunning(membership.table.get(id)?.record.state)) {
        this.missing.delete(id);
      }
    });
  }

  private getInterval(): Milliseconds {
    const { listInterval, listBytesPerSecond } = this.parts.context.options;
    const bytes = this.listedCount * INSTANCE_BYTES;
    return Math.max(listInterval, (bytes / listBytesPerSecond) * SECOND);
  }
}
