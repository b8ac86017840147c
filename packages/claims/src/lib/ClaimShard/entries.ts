import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimOptions } from '../ClaimOptions.js';
import type { ClaimOutcome, ClaimRequest } from '../claimTypes.js';
import { UnknownCause } from '../claimTypes.js';
import type { ClaimEntry, ClaimMutation, OwnerResponse } from '../messages.js';
import { EntryState } from '../messages.js';
import { isSameProcess } from '../placement.js';
import type { ShardContext } from './shardMessages.js';

/**
 * A running request is remembered for this many retention periods: one in which it must end, and
 * one after that.
 */
const RUNNING_RETENTIONS = 2;

function getLifetime(state: EntryState, options: ClaimOptions): Milliseconds {
  return state === EntryState.Running ? RUNNING_RETENTIONS * options.retention : options.retention;
}

/** Creates the entry of a new key. */
export function createEntry(
  request: ClaimRequest,
  options: ClaimOptions,
  sequence: number,
  now: Milliseconds,
): ClaimEntry {
  const expires = now + getLifetime(EntryState.Running, options);
  return { ...request, state: EntryState.Running, expires, sequence };
}

/**
 * Returns an entry after its outcome. Undefined when the request provably did not run and the key
 * is released.
 */
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

/** The response to another request with the same key. */
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
 * Merges a mutation that only a witness or an old owner remembers into the entry of its key. The
 * mutation is later than the state in the store, but not later than an outcome reported since.
 *
 * @param known - the new owner's entry of this name, if any
 * @returns the entry to keep, or undefined when the key is released
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
  // The time left by the old owner's clock is not known here, so the full lifetime is used.
  return { ...entry, expires: now + getLifetime(entry.state, options) };
}
