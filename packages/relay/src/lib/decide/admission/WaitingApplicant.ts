import type { Milliseconds } from '@apricotrill/utils';
import { getMemoryTokens } from '../getMemoryTokens.js';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';
import type { Prompt } from '../messages.js';
import type { AdmissionOptions } from './admissionOptions.js';
import type { Applicant } from './Applicant.js';
import { getMissingTokens } from './getMissingTokens.js';

/** How long an estimate of the missing tokens is used. Cached prefixes change with each prefill. */
const MISSING_TOKENS_AGE: Milliseconds = 100;

/** An applicant about which the placer has not decided yet. */
export interface WaitingApplicant {
  applicant: Applicant;
  /** When the same request first arrived, if it was refused before; else when it arrived. */
  firstArrivedAt: Milliseconds;
  /** Expected engine time, as an equivalent number of prefilled tokens. */
  cost: number;
  /** Prompt tokens to prefill at the engine that has cached most of the prompt. */
  missingTokens: number;
  /** Prompt tokens to prefill at each engine, as of `missingAt`. */
  missingByEngine: ReadonlyMap<ReplicaState, number>;
  missingAt: Milliseconds;
  /** KV-cache memory that it needs, in tokens. */
  memoryTokens: number;
  /** Latest time at which its first token is in time. */
  targetTime: Milliseconds;
  /** Whether the wait was announced. */
  isAnnounced: boolean;
}

/** Inputs of {@link createWaitingApplicant}. */
export interface WaitingApplicantInputs {
  applicant: Applicant;
  /** The engines that it may go to. */
  engines: readonly ReplicaState[];
  now: Milliseconds;
  options: Pick<AdmissionOptions, 'outputWeight' | 'plainCost'>;
  /** When the same request first arrived; undefined if it was not refused before. */
  firstArrivedAt: Milliseconds | undefined;
}

function getLeastTokens(
  missingByEngine: ReadonlyMap<ReplicaState, number>,
  prompt: Prompt | undefined,
): number {
  const tokens = [...missingByEngine.values()];
  return tokens.length === 0 ? (prompt?.inputTokens ?? 0) : Math.min(...tokens);
}

/** Estimates the missing tokens of an applicant again if the last estimate is outdated. */
export function updateMissingTokens(
  waiting: WaitingApplicant,
  engines: readonly ReplicaState[],
  now: Milliseconds,
): void {
  const isCurrent =
    now - waiting.missingAt < MISSING_TOKENS_AGE &&
    engines.every((engine) => waiting.missingByEngine.has(engine));
  const { prompt } = waiting.applicant.criteria;
  if (isCurrent || prompt === undefined) {
    return;
  }
  const missingByEngine = getMissingTokens(prompt, engines, now);
  const missingTokens = getLeastTokens(missingByEngine, prompt);
  Object.assign(waiting, { missingByEngine, missingTokens, missingAt: now });
}

/**
 * Estimates what an applicant needs, and adds the state of its wait.
 *
 * @example
 * ```ts
 * const { cost } = createWaitingApplicant({ applicant, engines, now, options, firstArrivedAt: undefined });
 * ```
 */
export function createWaitingApplicant({
  applicant,
  engines,
  now,
  options,
  firstArrivedAt = applicant.arrivedAt,
}: WaitingApplicantInputs): WaitingApplicant {
  const { prompt, latencyTarget } = applicant.criteria;
  const missingByEngine = getMissingTokens(prompt, engines, now);
  const missingTokens = getLeastTokens(missingByEngine, prompt);
  const outputCost = (prompt?.outputTokens ?? 0) * options.outputWeight;
  return {
    applicant,
    firstArrivedAt,
    cost: prompt === undefined ? options.plainCost : Math.max(1, missingTokens + outputCost),
    missingTokens,
    missingByEngine,
    missingAt: now,
    memoryTokens: getMemoryTokens(prompt),
    targetTime: applicant.arrivedAt + latencyTarget,
    isAnnounced: false,
  };
}
