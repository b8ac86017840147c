import type { PlacementEffect } from '../messages.js';
import { ProbeResult } from '../messages.js';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';

/** Dependencies of {@link UnverifiedFailures}. */
export interface UnverifiedFailuresParts {
  emit: (effect: PlacementEffect) => void;
  /** Called with the number of failures for which the replica is responsible. */
  onAttributed: (replica: string, count: number) => void;
}

/** Failures at one replica whose probe has not ended. */
interface Pending {
  state: ReplicaState;
  count: number;
  /** Failure rate of the replica before the first of them. */
  failureRate: number;
}

/**
 * Holds failures back until a probe tells whether the replica or this daemon's path to it is at fault.
 *
 * A daemon that reaches no replica sees the same as one whose replicas are all down. If it counted
 * its failures against the replicas, all daemons would take them out of service on its word.
 */
export class UnverifiedFailures {
  private readonly pending = new Map<string, Pending>();

  constructor(private readonly parts: UnverifiedFailuresParts) {}

  /** Records a failure, and requests a probe unless one is pending. */
  add(state: ReplicaState, failureRate: number): void {
    const { replica } = state;
    const known = this.pending.get(replica.id);
    if (known !== undefined) {
      known.count += 1;
      return;
    }
    this.pending.set(replica.id, { state, count: 1, failureRate });
    this.parts.emit({ kind: 'probe', replica });
  }

  /** Attributes the failures to the replica, or forgives them if only the path is at fault. */
  handleProbeResult(replica: string, result: ProbeResult): void {
    const pending = this.pending.get(replica);
    if (pending === undefined) {
      return;
    }
    this.pending.delete(replica);
    if (result === ProbeResult.PathLost) {
      pending.state.forgiveFailures(pending.failureRate);
    } else {
      this.parts.onAttributed(replica, pending.count);
    }
  }
}
