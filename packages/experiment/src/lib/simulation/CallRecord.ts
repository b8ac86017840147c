import type { ServiceClass } from '@apricotrill/model';
import type { Milliseconds } from '@apricotrill/utils';
import type { Call } from '../workload/Call.js';

/** How a call ended for its caller. */
export enum CallEnd {
  Open = 'open',
  Completed = 'completed',
  /** Given up by the router, and by the caller after its last retry. */
  GivenUp = 'given-up',
  /** The caller hung up in the middle of the answer, as it would have with any router. */
  Left = 'left',
  /** The caller lost patience before the first token. */
  Impatient = 'impatient',
}

/**
 * Everything that is measured about one call.
 *
 * @public
 */
export interface CallRecord {
  call: Call;
  serviceClass: ServiceClass;
  submissions: number;
  refusals: number;
  /** Tokens handed to the caller in the submission that counts. */
  delivered: number;
  /** Those of them that came while callers were still calling. */
  deliveredInSpan: number;
  firstTokenAt?: Milliseconds;
  lastTokenAt?: Milliseconds;
  settledAt?: Milliseconds;
  end: CallEnd;
  /** Tokens, or runs of a plain call, that backend servers computed for it. */
  computed: number;
  /** Whole runs at a plain service. */
  runs: number;
}

/** Creates the record of a call that nobody has submitted yet. */
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

/** Time until the answer began, or until the call was given up. */
export function getWait({ call, firstTokenAt, settledAt }: CallRecord): Milliseconds | undefined {
  const until = firstTokenAt ?? settledAt;
  return until === undefined ? undefined : until - call.arrived;
}

/**
 * Whether a call got what its class promises: the whole answer, its first token in time, and on
 * average no longer a gap between tokens than promised.
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
