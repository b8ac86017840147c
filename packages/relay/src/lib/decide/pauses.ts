import type { Milliseconds } from '@apricotrill/utils';
import type { EngineProfile } from '../config/RelayConfiguration.js';
import type { PlacementOptions } from './placementOptions.js';

/** Beside the reading of a chunk, a step makes a token for each request and looks at long contexts. */
const STEP_OVERHEAD: Milliseconds = 10;

/** The slowest event that is expected, and a margin for the network. */
const MARGIN = 1.15;

/** The part of its slack that an engine may read without any harm. */
const HARMLESS_PART = 0.5;

/** How the engines of a service make and read. */
export interface EnginePace {
  profile: EngineProfile | undefined;
  /** Prompt tokens that an engine of the service reads in a millisecond. */
  readRate: number;
  options: PlacementOptions;
}

/**
 * How long an engine may read without a break before a stream's pause passes its target; undefined
 * where no reading makes it so long.
 *
 * An engine reads a prompt in chunks, one in each step, so that a step lasts some 50 ms in place of
 * 5, and an event of five tokens 250. A prompt of one or two chunks harms no event.
 *
 * @example
 * ```ts
 * getPauseSlack(250, pace); // 167 milliseconds
 * ```
 */
export function getPauseSlack(
  pauseTarget: Milliseconds | undefined,
  { profile, readRate, options }: EnginePace,
): Milliseconds | undefined {
  if (pauseTarget === undefined) {
    return undefined;
  }
  const steps = profile?.eventTokens ?? 1;
  const chunk = options.chunkTokens / readRate;
  const isSafe = pauseTarget >= steps * (chunk + STEP_OVERHEAD) * MARGIN;
  return isSafe ? undefined : Math.max(chunk, pauseTarget / MARGIN - steps * STEP_OVERHEAD);
}

/**
 * How likely so much reading without a break makes a pause too long, 0 to 1.
 *
 * @param slack - by {@link getPauseSlack}
 * @example
 * ```ts
 * getHarm(60, 160); // 0
 * getHarm(120, 160); // 0.5
 * ```
 */
export function getHarm(reading: Milliseconds, slack: Milliseconds): number {
  const harmless = slack * HARMLESS_PART;
  return Math.min(1, Math.max(0, (reading - harmless) / (slack - harmless)));
}
