import type { Milliseconds } from '@apricotrill/utils';
import type { Work } from '../replicas/ReplicaModel.js';

/**
 * One call of a caller; it may be submitted several times.
 *
 * @public
 */
export interface Call {
  id: string;
  className: string;
  service: string;
  model?: string;
  workspace: string;
  arrived: Milliseconds;
  work: Work;
  /** Number of tokens after which the caller hangs up; without it the caller does not. */
  hangsUpAfter?: number;
  /** Determines the daemon to which the load balancer sends each submission. */
  route: number;
}
