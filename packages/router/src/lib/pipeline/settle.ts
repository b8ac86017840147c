import type { Milliseconds } from '@apricotrill/utils';
import type { RouterMetrics } from '../observe/RouterMetrics.js';
import type { Settlement } from '../request/RequestTask.js';
import type { CallerCall } from './IdentifiedCall.js';

const MILLISECONDS_PER_SECOND = 1000;
const TOKENS_PER_PRICE = 1000;

/**
 * What a request used, as settle counts it.
 *
 * @internal
 */
export interface RequestUse {
  /** Tokens that reached the caller; 0 for plain calls. */
  tokens: number;
  /** When the first token or the plain answer came; absent when none did. */
  firstProgress: Milliseconds | undefined;
}

function getSpend(call: CallerCall, tokens: number): number {
  const { costPerRequest, costPerThousandTokens } = call.service;
  return costPerRequest + (tokens * costPerThousandTokens) / TOKENS_PER_PRICE;
}

function isOnTarget(call: CallerCall, use: RequestUse): boolean {
  const { firstToken } = call.serviceClass.target;
  return use.firstProgress !== undefined && use.firstProgress - call.arrived <= firstToken;
}

/**
 * The last filter: counts what the request was worth. Tokens of an answer that never became whole,
 * or whose caller left, are wasted work.
 *
 * @param metrics - where it is counted
 * @param call - the request
 * @param settlement - how it ended for the caller
 * @param use - what it used
 * @example
 * ```ts
 * settle(metrics, call, settlement, { tokens, firstProgress });
 * ```
 * @internal
 */
export function settle(
  metrics: RouterMetrics,
  call: CallerCall,
  settlement: Settlement,
  use: RequestUse,
): void {
  const className = call.serviceClass.name;
  const workspace = call.workspace.name;
  const outcome = settlement.kind === 'given-up' ? settlement.outcome : settlement.kind;
  metrics.countEnd(className, workspace, outcome);
  if (use.firstProgress !== undefined) {
    const span = use.firstProgress - call.arrived;
    metrics.observeFirstToken(className, span / MILLISECONDS_PER_SECOND);
  }
  const spend = getSpend(call, use.tokens);
  if (settlement.kind === 'answered') {
    const answer = { tokens: use.tokens, spend, onTarget: isOnTarget(call, use) };
    metrics.countAnswer(className, workspace, answer);
  } else if (use.tokens > 0) {
    metrics.countWaste(className, settlement.kind, { tokens: use.tokens, spend });
  }
}
