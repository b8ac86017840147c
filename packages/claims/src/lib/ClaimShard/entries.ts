import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimOptions } from '../ClaimOptions.js';
import type { ClaimOutcome, ClaimRequest } from '../claimTypes.js';
import { UnknownCause } from '../claimTypes.js';
import type { ClaimEntry, ClaimMutation, OwnerResponse } from '../messages.js';
import { EntryState } from '../messages.js';
import { isSameProcess } from '../placement.js';
import type { ShardContext } from './shardMessages.js';

/** A running request is remembered for this many retentions: one to end in, one after that. */
const RUNNING_RETENTIONS = 2;

function getLifetime(state: EntryState, options: ClaimOptions): Milliseconds {
  return state === EntryState.Running ? RUNNING_RETENTIONS * options.retention : options.retention;
}

/** The entry of a new key. */
export function createEntry(
  request: ClaimRequest,
  options: ClaimOptions,
  sequence: number,
  now: Milliseconds,
): ClaimEntry {
  const expires = now + getLifetime(EntryState.Running, options);
  return { ...request, state: EntryState.Running, expires, sequence };
}

/** An entry after its outcome; undefined when it proved not to have run and the key is free. */
export function applyOutcome(
  entry: ClaimEntry,
  outcome: ClaimOutcome,
  options: ClaimOptions,
  now: Milliseconds,
): ClaimEntry | undefined {
  const expires = now + options.retention;
  switch (outcome.kind) {
    case 'answered':
      return { ...entry, state: EntryState.Settled, answer: outcome.answer, expires };
    case 'unknown':
      return { ...entry, state: EntryState.Unknown, expires };
    case 'not-run':
    default:
      return undefined;
  }
}

/** What another request with the same key is told. */
export function getResponseForRepeat(
  entry: ClaimEntry,
  request: ClaimRequest,
  context: ShardContext,
  now: Milliseconds,
): OwnerResponse {
  const { requestId } = entry;
  if (entry.fingerprint !== request.fingerprint) {
    return { kind: 'mismatch', requestId };
  }
  if (entry.state === EntryState.Settled && entry.answer !== undefined) {
    return { kind: 'settled', requestId, answer: entry.answer };
  }
  if (entry.state === EntryState.Unknown) {
    return { kind: 'unknown', cause: UnknownCause.Broken };
  }
  if (!context.members.some((member) => isSameProcess(member, entry.holder))) {
    return { kind: 'unknown', cause: UnknownCause.HolderGone };
  }
  if (entry.expires - now <= context.options.retention) {
    return { kind: 'unknown', cause: UnknownCause.Overdue };
  }
  return { kind: 'in-progress', requestId };
}

/**
 * What a mutation that only a witness or an old owner remembers makes of an entry. It is later than
 * what the store had, but not later than an outcome reported since.
 *
 * @param known - what the new owner has of the name
 * @returns the entry to keep, or undefined when the key is free
 */
export function mergeMutation(
  known: ClaimEntry | undefined,
  mutation: ClaimMutation,
  options: ClaimOptions,
  now: Milliseconds,
): ClaimEntry | undefined {
  const { entry } = mutation;
  if (entry === undefined) {
    return known?.claim === mutation.claim ? undefined : known;
  }
  const hasOutcome = known?.claim === entry.claim && known.state !== EntryState.Running;
  if (hasOutcome) {
    return known;
  }
  // The span left by the old owner's clock is not known here: remember it longer rather than less.
  return { ...entry, expires: now + getLifetime(entry.state, options) };
}
