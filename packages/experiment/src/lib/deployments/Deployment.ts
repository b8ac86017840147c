import type { Configuration } from '@apricotrill/model';
import type { EngineBatchOptions } from '@apricotrill/standins';
import type { Milliseconds } from '@apricotrill/utils';

/** Lengths that differ widely: log-normal, cut off at a limit. */
export interface HeavyTail {
  median: number;
  /** Standard deviation of the logarithm; above 1 the tail is long. */
  sigma: number;
  limit: number;
}

/** What the calls of a class look like. */
export type CallShape =
  | {
      kind: 'chat';
      /** Prompt tokens after the shared prefix. */
      prompt: HeavyTail;
      /** Tokens of a shared prefix, such as a product catalogue. */
      prefixTokens: number;
      /** How many different prefixes each workspace uses. */
      prefixesPerWorkspace: number;
      answer: HeavyTail;
    }
  | { kind: 'plain'; serviceTime: HeavyTail };

/**
 * The traffic of one class.
 *
 * @public
 */
export interface TrafficProfile {
  className: string;
  service: string;
  /** Its part of the service's work, between 0 and 1; a service's parts add up to 1. */
  share: number;
  shape: CallShape;
}

/**
 * One of the users' deployments: its configuration as they would write it, and the traffic that
 * we assume for it.
 *
 * @public
 */
export interface Deployment {
  name: string;
  configuration: Configuration;
  daemons: number;
  /** One way between a daemon and a backend server. */
  networkDelay: Milliseconds;
  /** One way between a caller and a daemon. */
  callerDelay: Milliseconds;
  engine: EngineBatchOptions;
  traffic: TrafficProfile[];
  /** The class whose calls multiply in a burst, by service. */
  burstClass: Record<string, string>;
}
