import type { Milliseconds } from '@apricotrill/utils';
import type { EngineProfile } from '../config/RelayConfiguration.js';
import type { PlacementOptions } from './placementOptions.js';

/**
 * Duration of a step without the prefill of a chunk: it decodes a token for each running
 * request and computes attention over long contexts.
 */
const STEP_OVERHEAD: Milliseconds = 10;

/** Safety factor for slow events and for the network. */
const SAFETY_FACTOR = 1.15;

/** The part of the slack during which prefill does no harm. */
const HARMLESS_PART = 0.5;

/** How fast the engines of a service prefill and decode. */
export interface EngineSpeed {
  profile: EngineProfile | undefined;
  /** Prompt tokens that an engine of the service prefills per millisecond. */
  prefillRate: number;
  /** How long a step without prefill takes now, relative to the usual time. */
  slowdown?: number;
  options: PlacementOptions;
}

/**
 * Gets how long an engine may prefill without interruption before a stream misses its pause target;
 * undefined if no prefill makes the stream miss it.
 *
 * An engine prefills a prompt in chunks, one per step, which lengthens a step from about 5 to 50
 * ms. An event of five tokens then takes 250 ms. A prompt of one or two chunks delays no event too
 * much.
 *
 * @example
 * ```ts
 * getPauseSlack(250, speed); // 167 milliseconds
 * ```
 */
export function getPauseSlack(
  pauseTarget: Milliseconds | undefined,
  { profile, prefillRate, slowdown = 1, options }: EngineSpeed,
): Milliseconds | undefined {
  if (pauseTarget === undefined) {
    return undefined;
  }
  const steps = profile?.eventTokens ?? 1;
  const chunk = options.chunkTokens / prefillRate;
  const overhead = STEP_OVERHEAD * slowdown;
  const isSafe = pauseTarget >= steps * (chunk + overhead) * SAFETY_FACTOR;
  return isSafe ? undefined : Math.max(chunk, pauseTarget / SAFETY_FACTOR - steps * overhead);
}

/**
 * Gets the probability, from 0 to 1, that uninterrupted prefill of this duration makes a stream
 * miss its pause target.
 *
 * @param slack - by {@link getPauseSlack}
 * @example
 * ```ts
 * getHarmProbability(60, 160); // 0
 * getHarmProbability(120, 160); // 0.5
 * ```
 */
export function getHarmProbability(prefillTime: Milliseconds, slack: Milliseconds): number {
  const harmless = slack * HARMLESS_PART;
  return Math.min(1, Math.max(0, (prefillTime - harmless) / (slack - harmless)));
}
