import { MalformedKind } from '@apricotrill/callers';
import type { RefusalBody } from '@apricotrill/callers';
import { ExecutionOutcome } from '@apricotrill/policy';
import { randomUUID } from 'node:crypto';
import { ProblemReason } from './Problem.js';
import type { Problem } from './Problem.js';
import { getProblemBody } from './writeProblem.js';

const PROBLEM_BY_KIND: Readonly<Record<MalformedKind, Pick<Problem, 'reason' | 'detail'>>> = {
  [MalformedKind.Malformed]: {
    reason: ProblemReason.Malformed,
    detail: 'what came is not a whole HTTP request',
  },
  [MalformedKind.HeadTooLarge]: {
    reason: ProblemReason.TooLarge,
    detail: 'the head of the request is too large',
  },
  [MalformedKind.HeadTooSlow]: {
    reason: ProblemReason.SlowBody,
    detail: 'the head of the request did not arrive in time',
  },
};

/**
 * Creates the problem document (RFC 9457) for bytes that could not be parsed as a request.
 *
 * @internal
 */
export function getRefusalBody(kind: MalformedKind, status: number): RefusalBody {
  const problem = {
    ...PROBLEM_BY_KIND[kind],
    status,
    title: 'The request could not be read',
    outcome: ExecutionOutcome.NotRun,
  };
  const text = JSON.stringify(getProblemBody(problem, randomUUID()));
  return { type: 'application/problem+json', text };
}
