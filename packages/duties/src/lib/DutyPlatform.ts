/** The lease holder that calls the platform, with its fencing token. */
export interface LeaseHolder {
  holder: string;
  /** The fencing token; it increases whenever the holder changes. */
  fencingNumber: number;
}

/** The platform's response to a call. */
export enum CallResult {
  Accepted = 'accepted',
  /** Refused: the platform has seen a higher fencing number, or the replicas are not available. */
  Conflict = 'conflict',
  /** The call was rate-limited or the platform is unavailable; it can be retried. */
  Unavailable = 'unavailable',
  /** Refused permanently; a retry would fail too. */
  Rejected = 'rejected',
}

/** Requests that replicas started in one window, by workspace. */
export interface UsageReport {
  window: number;
  counts: Readonly<Record<string, number>>;
}

/** The number of replicas of one type that a service should have in one availability zone. */
export interface ReplicaOrder {
  service: string;
  availabilityZone: string;
  count: number;
  /** Whether these are cheaper replicas that the platform may reclaim at short notice. */
  isPreemptible: boolean;
}

/**
 * The platform's API for duties.
 *
 * @public
 */
export interface DutyPlatform {
  /** @throws StepError when there was no response; the call may still be executed */
  reportUsage(report: UsageReport, leaseHolder: LeaseHolder): Promise<CallResult>;
  /** @throws StepError when there was no response; the call may still be executed */
  orderReplicas(order: ReplicaOrder, leaseHolder: LeaseHolder): Promise<CallResult>;
}
