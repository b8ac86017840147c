import type { Milliseconds } from '@apricotrill/utils';
import type { RelayService } from '../../config/RelayConfiguration.js';
import type { Holding } from '../getCachedPrefixes.js';
import type { PauseEstimate, PlacementCriteria } from '../messages.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';

/** What a choice is made from. */
export interface ChoiceInputs {
  request: PlacementCriteria;
  service: RelayService | undefined;
  candidates: readonly ReplicaState[];
  now: Milliseconds;
  options: PlacementOptions;
}

/** An engine from which a prompt's head can be copied. */
export interface Source {
  from: ReplicaState;
  copyable: number;
}

/** The same, with what the engines hold. */
export interface EngineInputs extends ChoiceInputs {
  holdings: ReadonlyMap<ReplicaState, Holding>;
  /** The engines that the prompt's session prefers, the best first. */
  homes: readonly ReplicaState[];
  sources: readonly Source[];
}

/** What an engine would copy of a prompt from another one. */
export interface Copy {
  from: ReplicaState;
  tokens: number;
  time: Milliseconds;
}

/** What is expected of one replica, and what choosing it costs. */
export interface Offer {
  state: ReplicaState;
  missingTokens: number;
  tokensAhead: number;
  isTelling: boolean;
  copy: Copy | undefined;
  expected: Milliseconds;
  pauses: PauseEstimate | undefined;
  cost: Milliseconds;
}
