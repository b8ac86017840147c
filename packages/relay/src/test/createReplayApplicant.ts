import type { Applicant } from '../lib/decide/admission/Applicant.js';
import { createPrompt } from './fixtures.js';

/** Parts of an applicant that a test states; the rest is as usual. */
export interface ReplayApplicantParts extends Partial<Applicant> {
  rank?: number;
  latencyTarget?: number;
  /** Tokens of a prompt that no other request shares. */
  tokens?: number;
}

/** Creates an applicant for tests of admission. */
export function createReplayApplicant(id: string, parts: ReplayApplicantParts = {}): Applicant {
  const { rank = 1, latencyTarget = 600, tokens = 4_000, arrivedAt = 0, ...rest } = parts;
  const prompt = createPrompt([[id, tokens]]);
  return {
    id,
    criteria: { service: 'llm', rank, latencyTarget, pauseTarget: 500, prompt },
    workspace: 'w',
    fingerprint: id,
    arrivedAt,
    deadline: arrivedAt + 5_000,
    availabilityZone: '',
    excludedReplicas: new Set(),
    ...rest,
  };
}
