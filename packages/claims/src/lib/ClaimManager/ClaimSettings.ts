import type { PlatformStore } from '@apricotrill/store';
import type { Clock } from '@apricotrill/utils';
import type { ClaimEvent } from '../ClaimEvent.js';
import type { ClaimOptions } from '../ClaimOptions.js';
import type { ClaimMember } from '../claimTypes.js';
import type { ClaimMessage, ClaimResponse } from '../messages.js';

/**
 * How daemons reach each other.
 *
 * @public
 */
export interface ClaimTransport {
  /**
   * Delivers a message to {@link ClaimManager.handle} of a peer and returns its response. Rejects
   * or never settles when there is none; the message may then have arrived or not.
   */
  call(peer: ClaimMember, message: ClaimMessage): Promise<ClaimResponse>;
}

/**
 * The constructor arguments of a claim manager.
 *
 * @public
 */
export interface ClaimSettings {
  self: ClaimMember;
  clock: Clock;
  /** Options that differ from the defaults. */
  options?: Partial<ClaimOptions>;
  store: PlatformStore;
  transport: ClaimTransport;
  /** The members that have not ended, by this daemon's view, with what to expect of each. */
  getMembers: () => readonly ClaimMember[];
  /** Called with every event, for the log. */
  onEvent?: (event: ClaimEvent) => void;
}

/**
 * What a handover could not finish in time. Zeros mean that it completed.
 *
 * @public
 */
export interface HandOverResult {
  ownedShards: number;
  unreportedOutcomes: number;
}
