import type { QuarantinedContent } from '../decide/messages.js';

/**
 * Persistent storage for quarantined requests, which survives restarts of the daemons.
 *
 * @public
 */
export interface QuarantineStore {
  /** Writes an entry, replacing an existing one. @throws StepError */
  add(request: QuarantinedContent): Promise<void>;
  /** Returns all entries, including expired ones, whose `remaining` is not positive. @throws StepError */
  list(): Promise<QuarantinedContent[]>;
  /** @throws StepError */
  remove(fingerprint: string): Promise<void>;
}
