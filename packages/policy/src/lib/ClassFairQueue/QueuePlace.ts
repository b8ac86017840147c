import type { ServiceClass } from '@apricotrill/model';
import type { QueueAddOptions } from 'p-queue';

/**
 * Where a request stands in the queue of its service; the options given to `PQueue.add`.
 *
 * @public
 */
export interface QueuePlace extends QueueAddOptions {
  id: string;
  serviceClass: Pick<ServiceClass, 'name' | 'tier' | 'floor'>;
  workspace: string;
  /** The workspace's share against others of its tier. */
  weight: number;
  /** Names the replicas that can run it: requests of one pool compete for the same slots. */
  pool: string;
  /** It was dispatched before: it goes ahead of its lane's others and is not charged again. */
  resumed?: boolean;
}
