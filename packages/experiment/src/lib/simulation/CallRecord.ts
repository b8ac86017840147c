import type { ServiceClass } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';
import type { Call } from '../workload/Call.js';

/** How a call ended for its caller. */
export enum CallEnd {
  Open = 'open',
  Completed = 'completed',
  /** The router gave the call up, and the caller did not retry it any more. */
  GivenUp = 'given-up',
  /** The caller hung up in the middle of the answer, for a reason unrelated to the router. */
  Left = 'left',
  /** The caller hung up because no first token arrived within its timeout. */
  TimedOut = 'impatient',
}

/**
 * The measurements of one call.
 *
 * @public
 */
export interface CallRecord {
  call: Call;
  serviceClass: ServiceClass;
  submissions: number;
  refusals: number;
  /** Tokens delivered to the caller by its latest submission; 1 for a whole plain answer. */
  delivered: number;
  /** The part of `delivered` that arrived while callers were still calling. */
  deliveredInSpan: number;
  firstTokenAt?: Milliseconds;
  lastTokenAt?: Milliseconds;
  settledAt?: Milliseconds;
  end: CallEnd;
  /** Tokens, or runs of a plain call, that backend servers computed, delivered or not. */
  computed: number;
  /** Completed runs at a plain service. */
  runs: number;
}

/** Creates the record of a call that has not been submitted yet. */
export function createCallRecord(call: Call, serviceClass: ServiceClass): CallRecord {
  return {
    call,
    serviceClass,
    submissions: 0,
    refusals: 0,
    delivered: 0,
    deliveredInSpan: 0,
    end: CallEnd.Open,
    computed: 0,
    runs: 0,
  };
}

/** Time from arrival to the first token or, without one, to the end; undefined before either. */
export function getWait({ call, firstTokenAt, settledAt }: CallRecord): Milliseconds | undefined {
  const until = firstTokenAt ?? settledAt;
  return until === undefined ? undefined : until - call.arrived;
}

/**
 * Whether a call met the target of its class: the answer is complete, the first token arrived in
 * time, and the mean gap between tokens is within the target (chat only).
 */
export function isAttained(record: CallRecord): boolean {
  const { serviceClass, firstTokenAt, lastTokenAt, delivered, call, end } = record;
  if (end !== CallEnd.Completed || firstTokenAt === undefined || lastTokenAt === undefined) {
    return false;
  }
  const { firstToken, tokenGap } = serviceClass.target;
  const meanGap = delivered > 1 ? (lastTokenAt - firstTokenAt) / (delivered - 1) : 0;
  const gapMet = call.work.kind === 'plain' || meanGap <= tokenGap;
  return firstTokenAt - call.arrived <= firstToken && gapMet;
}
