export type { ClaimCounters } from './lib/ClaimCounters.js';
export { AnswerSource, LossCause, TakeoverProof } from './lib/ClaimEvent.js';
export type { ClaimEvent } from './lib/ClaimEvent.js';
export { ClaimManager } from './lib/ClaimManager/ClaimManager.js';
export type {
  ClaimSettings,
  ClaimTransport,
  HandOverResult,
} from './lib/ClaimManager/ClaimSettings.js';
export { createClaimOptions, defaultClaimOptions } from './lib/ClaimOptions.js';
export type { ClaimOptions } from './lib/ClaimOptions.js';
export { MemberStanding, RefusalReason, UnknownCause } from './lib/claimTypes.js';
export type {
  ClaimResult,
  ClaimHandle,
  ClaimHolder,
  ClaimMember,
  ClaimOutcome,
  ClaimQuery,
  ClaimRequest,
  StoredResponse,
  CompleteResponse,
} from './lib/claimTypes.js';
export { EntryState, SealRole } from './lib/messages.js';
export type {
  ClaimEntry,
  ClaimMessage,
  ClaimMutation,
  ClaimResponse,
  OwnerResponse,
} from './lib/messages.js';
export {
  getClaimName,
  getClaimShard,
  getOwnerOrder,
  getPreferredWitness,
} from './lib/placement.js';
