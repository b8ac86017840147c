import { setTimeout as wait } from 'node:timers/promises';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import { isListening } from '../../upstream/isListening.js';
import { isResponding } from '../../upstream/isResponding.js';
import { pathOptions } from '../pathOptions.js';

/** Dependencies of {@link ReplicaCheck}. */
export interface ReplicaCheckParts {
  /** Path of the health check of a replica; undefined if its service is unknown. */
  getHealthPath: (replica: RelayReplica) => string | undefined;
  /** Whether a health check may be sent to the replica now; counts it against the replica's limit. */
  mayCheck: (replica: RelayReplica) => boolean;
}

/** What a check shows. */
export enum CheckResult {
  /** The replica has sent something. */
  Responds = 'responds',
  /** Its port accepts connections, it allows no health check now, and it sends nothing else. */
  Accepts = 'accepts',
  /** A connection does not open, or carries nothing. */
  Silent = 'silent',
  /** Its port refuses connections. */
  Refuses = 'refuses',
}

/** Whether this daemon reaches the replica; undefined if that is not certain. */
export function isReached(result: CheckResult): boolean | undefined {
  switch (result) {
    case CheckResult.Responds:
      return true;
    case CheckResult.Refuses:
      return false;
    case CheckResult.Accepts:
    case CheckResult.Silent:
      return undefined;
    default:
      return result satisfies never;
  }
}

function getFailure(accepts: false | undefined): CheckResult {
  return accepts === false ? CheckResult.Refuses : CheckResult.Silent;
}

/**
 * Checks whether this daemon reaches a replica: its port accepts a connection, and a health check gets
 * a response of any status. Without the latter, a path whose connections open and carry nothing would
 * count as one that works.
 */
export class ReplicaCheck {
  /** Several daemons that are partitioned at the same time ask for the same replicas. */
  private readonly pending = new Map<string, Promise<CheckResult>>();

  /** Ends the wait for a response, by replica. */
  private readonly awaited = new Map<string, () => void>();

  constructor(private readonly parts: ReplicaCheckParts) {}

  /** Records that a replica has sent something over a connection of this daemon. */
  recordContact(replica: string): void {
    this.awaited.get(replica)?.();
  }

  /** Concurrent checks of the same replica share their result. */
  run(replica: RelayReplica): Promise<CheckResult> {
    const known = this.pending.get(replica.id);
    if (known !== undefined) {
      return known;
    }
    const result = this.check(replica).finally(() => this.pending.delete(replica.id));
    this.pending.set(replica.id, result);
    return result;
  }

  /** Checks a replica from now on. The failure of a check that began earlier proves nothing about now. */
  async runAnew(replica: RelayReplica): Promise<CheckResult> {
    const earlier = await this.pending.get(replica.id);
    return earlier === CheckResult.Responds ? earlier : this.run(replica);
  }

  private async check(replica: RelayReplica): Promise<CheckResult> {
    // A busy replica may not respond in time while it sends other responses.
    const contact = new Promise<boolean>((resolve) => {
      this.awaited.set(replica.id, () => resolve(true));
    });
    const { address } = replica;
    const accepts = await isListening(address, pathOptions.probeTimeout);
    const result =
      accepts === true ? await this.checkResponse(replica, contact) : getFailure(accepts);
    this.awaited.delete(replica.id);
    return result;
  }

  /** @param contact - resolves to true once the replica has sent something over another connection */
  private async checkResponse(
    replica: RelayReplica,
    contact: Promise<boolean>,
  ): Promise<CheckResult> {
    const { getHealthPath, mayCheck } = this.parts;
    const { responseTimeout } = pathOptions;
    const path = getHealthPath(replica);
    const isAllowed = path !== undefined && mayCheck(replica);
    const response = isAllowed
      ? isResponding(replica.address, path, responseTimeout)
      : wait(responseTimeout, false);
    if (await Promise.race([contact, response])) {
      return CheckResult.Responds;
    }
    return isAllowed ? CheckResult.Silent : CheckResult.Accepts;
  }
}
