import type { Configuration } from '@apricotrill/model';
import type { EngineBatchOptions } from '@apricotrill/standins';
import type { Milliseconds } from '@apricotrill/utils';

/** A log-normal distribution of lengths, capped at a limit. */
export interface HeavyTail {
  median: number;
  /** Standard deviation of the logarithm; above 1 the tail is long. */
  sigma: number;
  limit: number;
}

/** The distribution of the sizes of the calls of a class. */
export type CallShape =
  | {
      kind: 'chat';
      /** Prompt tokens after the shared prefix. */
      prompt: HeavyTail;
      /** Tokens of a shared prefix, such as a product catalogue. */
      prefixTokens: number;
      /** Number of different prefixes that each workspace uses. */
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
  /** Fraction of the service's work, between 0 and 1; the shares of a service add up to 1. */
  share: number;
  shape: CallShape;
}

/**
 * One of the users' deployments: its configuration, as they would write it, and its assumed
 * traffic.
 *
 * @public
 */
export interface Deployment {
  name: string;
  configuration: Configuration;
  daemons: number;
  /** One-way delay between a daemon and a backend server. */
  networkDelay: Milliseconds;
  /** One-way delay between a caller and a daemon. */
  callerDelay: Milliseconds;
  engine: EngineBatchOptions;
  traffic: TrafficProfile[];
  /** The class whose load rises in a burst, by service. */
  burstClass: Record<string, string>;
}
