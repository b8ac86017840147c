import type { ServiceClass } from '@apricotrill/model';
import type { QueueAddOptions } from 'p-queue';

/**
 * The options that determine the place of a request in the queue of its service, as passed to
 * `PQueue.add`.
 *
 * @public
 */
export interface QueuePlace extends QueueAddOptions {
  id: string;
  serviceClass: Pick<ServiceClass, 'name' | 'tier' | 'floor'>;
  workspace: string;
  /** The weight of the workspace relative to others in its tier. */
  weight: number;
  /** The pool of replicas that can run the request; requests of a pool compete for its slots. */
  pool: string;
  /**
   * Whether the request was dispatched before. It then goes ahead of the others in its lane and is
   * not charged again.
   */
  resumed?: boolean;
}
