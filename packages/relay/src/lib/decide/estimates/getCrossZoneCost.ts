import type { Milliseconds } from '@apricotrill/utils';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';
import type { ChoiceInputs } from '../estimates/ReplicaEstimate.js';

const TOKENS_PER_THOUSAND = 1_000;

/** Bytes between zones are paid for, and a prompt is many; among equals the own zone goes first. */
export function getCrossingCost(
  { request, options }: ChoiceInputs,
  { replica }: ReplicaState,
): Milliseconds {
  if (options.availabilityZone === '' || replica.availabilityZone === options.availabilityZone) {
    return 0;
  }
  const thousands = (request.prompt?.inputTokens ?? 0) / TOKENS_PER_THOUSAND;
  return options.crossingCost + thousands * options.crossingPerThousand;
}
