import type { Milliseconds, Timer } from '@apricotrill/utils';
import type { PlacementRequest, Prompt } from './messages.js';
import type { ReplicaState } from './ReplicaState/ReplicaState.js';

/** An attempt that is under way, of this daemon or of another. */
export interface RunningAttempt {
  /** The daemon's own number of it; 0 for those of others. */
  number: number;
  /** Unique among the attempts of its daemon. */
  key: string;
  isOwn: boolean;
  state: ReplicaState;
  sentAt: Milliseconds;
  /** Prompt tokens that its engine had to read. */
  missingTokens: number;
  /** What it will take of its engine's memory, the prompt and half of the longest answer. */
  memoryTokens: number;
  /** Absent where the answer is no stream. */
  pauseTarget: Milliseconds | undefined;
  prompt: Prompt | undefined;
  /** The first byte of the answer came. */
  isAnswering: boolean;
}

/** What the placement core keeps of a request until it is over. */
export interface RequestRecord {
  request: PlacementRequest;
  /** Attempts that were started, whatever became of them. */
  started: number;
  /** Attempts that reached a replica: these count against the route's limit. */
  sent: number;
  /** Attempts of which no byte left this daemon. */
  unsent: number;
  /** Some attempt may have run. */
  mayHaveRun: boolean;
  /** Replicas that were tried. */
  tried: Set<string>;
  running: RunningAttempt | undefined;
  deadlineTimer: Timer | undefined;
  silenceTimer: Timer | undefined;
}

/** The record of a request that has just arrived. */
export function createRequestRecord(request: PlacementRequest): RequestRecord {
  return {
    request,
    started: 0,
    sent: 0,
    unsent: 0,
    mayHaveRun: false,
    tried: new Set(),
    running: undefined,
    deadlineTimer: undefined,
    silenceTimer: undefined,
  };
}
