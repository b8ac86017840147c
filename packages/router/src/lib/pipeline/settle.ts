import type { Milliseconds } from '@apricotrill/utils';
import type { RouterMetrics } from '../observe/RouterMetrics.js';
import type { Settlement } from '../request/RequestTask.js';
import type { IdentifiedCall } from './IdentifiedCall.js';

const MILLISECONDS_PER_SECOND = 1000;
const TOKENS_PER_PRICE_UNIT = 1000;

/**
 * What a request consumed.
 *
 * @internal
 */
export interface RequestUsage {
  /** Tokens delivered to the caller; 0 for plain requests. */
  tokens: number;
  /** When the first token or the plain response arrived; undefined if none did. */
  firstProgressAt: Milliseconds | undefined;
}

function getSpend(call: IdentifiedCall, tokens: number): number {
  const { costPerRequest, costPerThousandTokens } = call.service;
  return costPerRequest + (tokens * costPerThousandTokens) / TOKENS_PER_PRICE_UNIT;
}

function isOnTarget(call: IdentifiedCall, usage: RequestUsage): boolean {
  const { firstToken } = call.serviceClass.target;
  return (
    usage.firstProgressAt !== undefined && usage.firstProgressAt - call.arrivedAt <= firstToken
  );
}

/**
 * The last step of the request path: records the result and the cost of a request in the metrics.
 * Tokens of an incomplete response, or of one whose caller disconnected, count as wasted work.
 *
 * @param metrics - the metrics to update
 * @param call - the request
 * @param settlement - how it ended for the caller
 * @param usage - what it consumed
 * @example
 * ```ts
 * settle(metrics, call, settlement, { tokens, firstProgressAt });
 * ```
 * @internal
 */
export function settle(
  metrics: RouterMetrics,
  call: IdentifiedCall,
  settlement: Settlement,
  usage: RequestUsage,
): void {
  const className = call.serviceClass.name;
  const workspace = call.workspace.name;
  const outcome = settlement.kind === 'given-up' ? settlement.outcome : settlement.kind;
  metrics.recordRequest(className, workspace, outcome);
  if (usage.firstProgressAt !== undefined) {
    const elapsed = usage.firstProgressAt - call.arrivedAt;
    metrics.recordFirstToken(className, elapsed / MILLISECONDS_PER_SECOND);
  }
  const spend = getSpend(call, usage.tokens);
  if (settlement.kind === 'answered') {
    const response = { tokens: usage.tokens, spend, onTarget: isOnTarget(call, usage) };
    metrics.recordCompletedResponse(className, workspace, response);
  } else if (usage.tokens > 0) {
    metrics.recordWaste(className, settlement.kind, { tokens: usage.tokens, spend });
  }
}
