import type { PlacementUpdate } from '../decide/messages.js';
import type { DutyUpdate } from '../duties/DutyUpdate.js';

/** Everything that one daemon tells another. */
export type PeerUpdate = PlacementUpdate | DutyUpdate;
