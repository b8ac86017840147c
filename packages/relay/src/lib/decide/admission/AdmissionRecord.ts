import type { Milliseconds } from '@apricotrill/utils';
import type { LoadReport } from '../messages.js';
import type { AdmissionDecision, RefusalReason } from './Applicant.js';

/** A decision of a placer about a request, with its inputs, for the log and the metrics. */
export interface AdmissionRecord {
  decision: AdmissionDecision['kind'];
  /** The daemon that received the request, and the key of its query. */
  daemon: string;
  key: string;
  service: string;
  group: string;
  workspace: string;
  rank: number;
  latencyTarget: Milliseconds;
  /** Time since the request arrived at its daemon. */
  waited: Milliseconds;
  /** Number of requests that wait for the group. */
  waiting: number;
  /** The expected wait that was promised, by this decision or an earlier one. */
  expectedWait?: Milliseconds;
  /** Time since that promise; absent if the request did not have to wait. */
  queuedFor?: Milliseconds;
  reason?: RefusalReason;
  /** When the first token was expected, after the arrival of the request. */
  expected?: Milliseconds;
  retryAfter?: Milliseconds;
  /** The engine where the request begins, the requests in flight there, its last report and its age. */
  replica?: string;
  inFlight?: number;
  reported?: LoadReport;
  reportAge?: Milliseconds;
  /** Prompt tokens that the engine has to prefill. */
  missingTokens?: number;
}

/** What a decision does not say itself. */
export interface AdmissionRecordInputs {
  daemon: string;
  key: string;
  group: string;
  /** The wait that was promised before, and when; undefined if none was. */
  promise: { expectedWait: Milliseconds; madeAt: Milliseconds } | undefined;
  waiting: number;
  now: Milliseconds;
}

/** Describes a decision of a placer. */
export function createAdmissionRecord(
  decision: AdmissionDecision,
  { promise, now, ...inputs }: AdmissionRecordInputs,
): AdmissionRecord {
  const { criteria, workspace, arrivedAt } = decision.applicant;
  const { service, rank, latencyTarget } = criteria;
  const waited = now - arrivedAt;
  const queuedFor = promise === undefined ? undefined : now - promise.madeAt;
  const expectedWait = promise?.expectedWait;
  const request = { ...inputs, service, workspace, rank, latencyTarget, waited };
  const common = { ...request, expectedWait, queuedFor };
  switch (decision.kind) {
    case 'begin': {
      const { state, choice } = decision.chosen;
      const { expected, inFlight, reported, reportAge, missingTokens } = choice;
      const replica = state.replica.id;
      const engine = { replica, inFlight, reported, reportAge, missingTokens };
      return { ...common, ...engine, decision: 'begin', expected };
    }
    case 'wait':
      return { ...common, decision: 'wait', expectedWait: decision.expectedWait };
    case 'refuse': {
      const { reason, retryAfter, expected } = decision;
      const refusal = { reason, retryAfter, expected };
      return { ...common, ...refusal, decision: 'refuse' };
    }
    default:
      return decision satisfies never;
  }
}
