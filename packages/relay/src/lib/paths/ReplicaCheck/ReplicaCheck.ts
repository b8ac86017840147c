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
  /** Its port accepts connections, and it allows no health check now. */
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

  private async check(replica: RelayReplica): Promise<CheckResult> {
    const { getHealthPath, mayCheck } = this.parts;
    const { address } = replica;
    const accepts = await isListening(address, pathOptions.probeTimeout);
    const path = getHealthPath(replica);
    if (accepts !== true) {
      return accepts === false ? CheckResult.Refuses : CheckResult.Silent;
    }
    if (path === undefined || !mayCheck(replica)) {
      return CheckResult.Accepts;
    }
    // A busy replica may not respond in time while it sends other responses.
    const contact = new Promise<boolean>((resolve) => {
      this.awaited.set(replica.id, () => resolve(true));
    });
    const response = isResponding(address, path, pathOptions.responseTimeout);
    const responds = await Promise.race([contact, response]);
    this.awaited.delete(replica.id);
    return responds ? CheckResult.Responds : CheckResult.Silent;
  }
}
