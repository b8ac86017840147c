import type { PlatformStore } from '@apricotrill/store';
import type { Clock } from '@apricotrill/utils';
import type { ClaimEvent } from '../ClaimEvent.js';
import type { ClaimOptions } from '../ClaimOptions.js';
import type { ClaimMember } from '../claimTypes.js';
import type { ClaimMessage, ClaimResponse } from '../messages.js';

/**
 * How daemons reach one another.
 *
 * @public
 */
export interface ClaimTransport {
  /**
   * Delivers a message to a peer's {@link ClaimManager.handle} and brings back its response. Rejects,
   * or never ends, when there is none: whether the message arrived is then unknown.
   */
  call(peer: ClaimMember, message: ClaimMessage): Promise<ClaimResponse>;
}

/**
 * What a manager is given.
 *
 * @public
 */
export interface ClaimSettings {
  self: ClaimMember;
  clock: Clock;
  /** Values that differ from the defaults. */
  options?: Partial<ClaimOptions>;
  store: PlatformStore;
  transport: ClaimTransport;
  /** The members that have not ended, by this daemon's view, with what it may expect of each. */
  getMembers: () => readonly ClaimMember[];
  /** Called with every event, for the log. */
  onEvent?: (event: ClaimEvent) => void;
}

/**
 * What a hand-over could not finish in time; zeros mean a clean end.
 *
 * @public
 */
export interface HandOverResult {
  ownedShards: number;
  unreportedOutcomes: number;
}
