import type { Milliseconds } from '@apricotrill/utils';
import type { Work } from '../replicas/ReplicaModel.js';

/**
 * One call that a caller wants answered; it may be submitted several times.
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
  /** The caller hangs up after this many tokens; never when absent. */
  leavesAfter?: number;
  /** Picks the daemon the balancer gives each submission to. */
  route: number;
}
