import type { Milliseconds } from '@apricotrill/utils';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';
import type { ChoiceInputs } from './ReplicaEstimate.js';

const TOKENS_PER_THOUSAND = 1_000;

/**
 * Cost of sending a request to another availability zone. Traffic between zones is billed by the
 * byte, so the cost grows with the prompt. Between otherwise equal
 * replicas, one in the daemon's own zone is chosen.
 */
export function getCrossZoneCost(
  { request, options }: Pick<ChoiceInputs, 'request' | 'options'>,
  { replica }: ReplicaState,
): Milliseconds {
  if (options.availabilityZone === '' || replica.availabilityZone === options.availabilityZone) {
    return 0;
  }
  const thousands = (request.prompt?.inputTokens ?? 0) / TOKENS_PER_THOUSAND;
  return options.crossingCost + thousands * options.crossingPerThousand;
}
