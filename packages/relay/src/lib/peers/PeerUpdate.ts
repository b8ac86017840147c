import type { OverloadUpdate } from '../callers/OverloadGuard/OverloadGuard.js';
import type { PlacementUpdate } from '../decide/messages.js';
import type { PathUpdate } from '../paths/PathUpdate.js';
import type { DutyUpdate } from '../duties/DutyUpdate.js';

/** An update that one daemon sends to another. */
export type PeerUpdate = PlacementUpdate | DutyUpdate | PathUpdate | OverloadUpdate;
