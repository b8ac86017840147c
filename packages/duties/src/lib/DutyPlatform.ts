/** Who calls the platform, under which number. */
export interface LeaseHolder {
  holder: string;
  /** Grows when the holder changes. */
  fencingNumber: number;
}

/** What the platform made of a call. */
export enum CallResult {
  Accepted = 'accepted',
  /** Refused: a higher number was seen, or what was ordered is not to be had. */
  Conflict = 'conflict',
  /** Too many calls, or the platform is not available: worth another try. */
  Unavailable = 'unavailable',
  /** Refused for good. */
  Rejected = 'rejected',
}

/** Requests that began to run in one window, by workspace. */
export interface UsageReport {
  window: number;
  counts: Readonly<Record<string, number>>;
}

/** How many replicas of one sort a service is to have in one availability zone. */
export interface ReplicaOrder {
  service: string;
  availabilityZone: string;
  count: number;
  /** Cheaper replicas that the platform may take back at short notice. */
  isPreemptible: boolean;
}

/**
 * The platform's interface for duties.
 *
 * @public
 */
export interface DutyPlatform {
  /** @throws StepError when no answer came; the call may still be carried out */
  reportUsage(report: UsageReport, authority: LeaseHolder): Promise<CallResult>;
  /** @throws StepError when no answer came; the call may still be carried out */
  orderReplicas(order: ReplicaOrder, authority: LeaseHolder): Promise<CallResult>;
}
