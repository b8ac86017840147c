export type { ClaimCounters } from './lib/ClaimCounters.js';
export { AnswerSource, LossCause, TakeoverProof } from './lib/ClaimDecision.js';
export type { ClaimDecision } from './lib/ClaimDecision.js';
export { ClaimManager } from './lib/ClaimManager/ClaimManager.js';
export type {
  ClaimSettings,
  ClaimTransport,
  HandOverResult,
} from './lib/ClaimManager/ClaimSettings.js';
export { createClaimOptions, DEFAULT_CLAIM_OPTIONS } from './lib/ClaimOptions.js';
export type { ClaimOptions } from './lib/ClaimOptions.js';
export { MemberStanding, RefusalReason, UnknownCause } from './lib/claimTypes.js';
export type {
  ClaimAnswer,
  ClaimHandle,
  ClaimHolder,
  ClaimMember,
  ClaimOutcome,
  ClaimQuery,
  ClaimRequest,
  StoredAnswer,
  WholeAnswer,
} from './lib/claimTypes.js';
export { EntryState, SealRole } from './lib/messages.js';
export type {
  ClaimEntry,
  ClaimMessage,
  ClaimMutation,
  ClaimReply,
  OwnerAnswer,
} from './lib/messages.js';
export {
  getClaimName,
  getClaimShard,
  getOwnerOrder,
  getPreferredWitness,
} from './lib/placement.js';
