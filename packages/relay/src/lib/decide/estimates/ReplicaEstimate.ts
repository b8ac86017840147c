import type { Milliseconds } from '@apricotrill/utils';
import type { RelayService } from '../../config/RelayConfiguration.js';
import type { CachedPrefix } from '../getCachedPrefixes.js';
import type { PauseEstimate, PlacementCriteria } from '../messages.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';

/** The inputs of a choice of a replica. */
export interface ChoiceInputs {
  request: PlacementCriteria;
  service: RelayService | undefined;
  candidates: readonly ReplicaState[];
  now: Milliseconds;
  options: PlacementOptions;
}

/** An engine from which a prefix of a prompt can be copied. */
export interface CopySource {
  from: ReplicaState;
  /** Length of the prefix in tokens. */
  copyable: number;
}

/** The inputs of a choice of an engine: the cached prefixes of the request's prompt are added. */
export interface EngineChoiceInputs extends ChoiceInputs {
  cachedPrefixes: ReadonlyMap<ReplicaState, CachedPrefix>;
  /** The home engines of the prompt's session, in order of preference. */
  homeEngines: readonly ReplicaState[];
  sources: readonly CopySource[];
}

/** The prefix of a prompt that an engine would copy from another engine. */
export interface PrefixCopy {
  from: ReplicaState;
  tokens: number;
  time: Milliseconds;
}

/** The expected latency of a request at one replica, and the cost of choosing this replica. */
export interface ReplicaEstimate {
  state: ReplicaState;
  /** Prompt tokens that the engine would have to prefill. */
  missingTokens: number;
  /** The missing tokens plus the backlog of the engine. */
  tokensAhead: number;
  /** Whether the missing tokens are known, so that the wait reveals the engine's speed. */
  isInformative: boolean;
  copy: PrefixCopy | undefined;
  /** Time from the send to the first byte. */
  expected: Milliseconds;
  pauses: PauseEstimate | undefined;
  cost: Milliseconds;
}
