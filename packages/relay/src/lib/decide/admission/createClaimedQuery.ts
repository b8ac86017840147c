import type { Milliseconds } from '@apricotrill/utils';
import type { AdmissionClaim, PlacementQuery } from '../messages.js';
import type { RequestRecord } from '../RequestRecord.js';
import type { ClaimedQuery } from './PeerQueries/PeerQueries.js';

/** What the query of a request says beside the request. */
export interface QueryInputs {
  key: string;
  availabilityZone: string;
  /** IDs of replicas that asked for a backoff. */
  backedOff: Iterable<string>;
}

/** Creates the query for the replica of a request's next attempt. */
export function createQuery(
  { request, triedReplicas }: RequestRecord,
  { key, availabilityZone, backedOff }: QueryInputs,
): PlacementQuery {
  const { service, rank, latencyTarget, pauseTarget, prompt } = request;
  return {
    key,
    criteria: { service, rank, latencyTarget, pauseTarget, prompt },
    availabilityZone,
    excludedReplicas: [...new Set([...triedReplicas, ...backedOff])],
  };
}

/** Creates the claim of a request. Its times are durations, since the clocks of daemons differ. */
export function createClaim(
  { request }: RequestRecord,
  group: string,
  now: Milliseconds,
): AdmissionClaim {
  const { workspace, fingerprint, arrivedAt, deadline } = request;
  return {
    group,
    workspace,
    fingerprint,
    waited: Math.max(0, now - arrivedAt),
    timeLeft: Math.max(0, deadline - now),
  };
}

/** Creates the query of a request under admission control. */
export function createClaimedQuery(
  record: RequestRecord,
  { group, now, ...inputs }: QueryInputs & { group: string; now: Milliseconds },
): ClaimedQuery {
  return { ...createQuery(record, inputs), claim: createClaim(record, group, now) };
}
