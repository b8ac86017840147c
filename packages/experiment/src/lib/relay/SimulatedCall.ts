import type { Milliseconds } from '@apricotrill/utils';
import type { Prompt } from '@apricotrill/relay';
import type { RequestKind } from './RelayDeployment.js';

/** A caller's request and its result. */
export interface SimulatedCall {
  id: string;
  kind: RequestKind;
  /** Urgency among the calls to its service; 0 is the most urgent. */
  rank: number;
  daemon: number;
  workspace: string;
  arrivedAt: Milliseconds;
  prompt: Prompt | undefined;
  outputTokens: number;
  serviceTime: Milliseconds;
  /**
   * Input tokens plus ten times the output tokens, relative to the mean of its kind; 1 for plain
   * requests.
   */
  size: number;
  /** Time from arrival to the first event of the response; absent until one arrives. */
  firstEvent?: Milliseconds;
  /** Clock time of the latest event of the response. */
  lastEvent?: Milliseconds;
  longestPause: Milliseconds;
  /** The software version of each replica that wrote events of the response, in order. */
  writers: string[];
  isComplete: boolean;
  /** How often it was sent to a replica. */
  attempts: number;
  /** Time to the first event that the placement core predicted for the first attempt. */
  predictedFirstEvent?: Milliseconds;
}

/** Whether the response completed and met its latency and pause targets. */
export function isInTime({ kind, firstEvent, longestPause, isComplete }: SimulatedCall): boolean {
  return (
    isComplete &&
    firstEvent !== undefined &&
    firstEvent <= kind.latencyTarget &&
    longestPause <= (kind.pauseTarget ?? Number.POSITIVE_INFINITY)
  );
}
