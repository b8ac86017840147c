import type { Milliseconds } from '@apricotrill/utils';
import type { RelayReplica } from '../../config/RelayConfiguration.js';

/** Which process responds at the address of a replica. */
export enum ReplicaIdentity {
  /** That of the replica. */
  Same = 'same',
  /** Another one. */
  Other = 'other',
  /** One that does not state who it is. */
  Anonymous = 'anonymous',
  /** None: connections are refused. */
  None = 'none',
  /** Nothing tells in time. */
  Unknown = 'unknown',
}

/** Asks a replica who it is, with the path of its health check. */
export type IdentifyReplica = (
  replica: RelayReplica,
  path: string,
  timeout: Milliseconds,
) => Promise<ReplicaIdentity>;
