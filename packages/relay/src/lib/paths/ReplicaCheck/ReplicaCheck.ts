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

/**
 * Checks whether this daemon reaches a replica: its port accepts a connection, and a health check gets
 * a response of any status. Without the latter, a path whose connections open and carry nothing would
 * count as one that works.
 */
export class ReplicaCheck {
  /** Several daemons that are partitioned at the same time ask for the same replicas. */
  private readonly pending = new Map<string, Promise<boolean | undefined>>();

  /** Ends the wait for a response, by replica. */
  private readonly awaited = new Map<string, () => void>();

  constructor(private readonly parts: ReplicaCheckParts) {}

  /** Records that a replica has sent something over a connection of this daemon. */
  recordContact(replica: string): void {
    this.awaited.get(replica)?.();
  }

  /** @returns false if its port refuses connections, undefined if that is not certain */
  run(replica: RelayReplica): Promise<boolean | undefined> {
    const known = this.pending.get(replica.id);
    if (known !== undefined) {
      return known;
    }
    const result = this.check(replica).finally(() => this.pending.delete(replica.id));
    this.pending.set(replica.id, result);
    return result;
  }

  private async check(replica: RelayReplica): Promise<boolean | undefined> {
    const { getHealthPath, mayCheck } = this.parts;
    const { address } = replica;
    const accepts = await isListening(address, pathOptions.probeTimeout);
    const path = getHealthPath(replica);
    if (accepts !== true || path === undefined || !mayCheck(replica)) {
      return accepts;
    }
    // A busy replica may not respond in time while it sends other responses.
    const contact = new Promise<boolean>((resolve) => {
      this.awaited.set(replica.id, () => resolve(true));
    });
    const response = isResponding(address, path, pathOptions.responseTimeout);
    const isReached = await Promise.race([contact, response]);
    this.awaited.delete(replica.id);
    return isReached ? true : undefined;
  }
}
