import { ConfigurationError } from '../ConfigurationError.js';
import { getAcceptedChange } from '../Manifest.js';
import type { AcceptedChange, Manifest } from '../Manifest.js';
import type { ConfigurationReader } from './ConfigurationReader.js';

/** The status of a change, given what has been accepted so far. */
export type ChangeStatus =
  /** Its base is the accepted generation, so it can still be accepted. */
  | { kind: 'open' }
  | { kind: 'accepted'; change: AcceptedChange }
  /** Another change was accepted as its generation. */
  | { kind: 'superseded' }
  /** The generation it would have become is no longer retained. */
  | { kind: 'forgotten' };

/** The fields that identify a change. */
export interface ChangeIdentity {
  changeId: string;
  contentHash: string;
  baseGeneration: number;
}

/**
 * If an operator used the same change id for two changes, the second would be reported as accepted
 * although it never was.
 */
function checkIdentity(identity: ChangeIdentity, found: AcceptedChange): void {
  if (found.contentHash !== identity.contentHash) {
    throw new ConfigurationError(
      `change id "${identity.changeId}" was already used for generation ${found.generation}, which has different content`,
      { step: 'apply', peer: 'platform store' },
    );
  }
}

/** The change that was accepted as this generation, if it is still retained. */
async function findAcceptedChange(
  reader: ConfigurationReader,
  knownChanges: readonly AcceptedChange[],
  generation: number,
): Promise<AcceptedChange | undefined> {
  const recent = knownChanges.find((change) => change.generation === generation);
  return recent ?? (await reader.readArchivedManifest(generation))?.manifest;
}

/**
 * Determines the status of a change whose confirmation may have been lost. If it was accepted, it
 * became the generation after its base, because the update was conditional on that base. It is
 * therefore enough to look at that one generation, however many were accepted after it.
 *
 * @param accepted - the currently accepted manifest
 * @throws StoreUnavailableError, ConfigurationError
 */
export async function getChangeStatus(
  reader: ConfigurationReader,
  identity: ChangeIdentity,
  accepted: Manifest | undefined,
): Promise<ChangeStatus> {
  const generation = accepted?.generation ?? 0;
  const knownChanges =
    accepted === undefined ? [] : [getAcceptedChange(accepted), ...accepted.recent];
  const match = knownChanges.find(({ changeId }) => changeId === identity.changeId);
  if (match !== undefined) {
    checkIdentity(identity, match);
    return { kind: 'accepted', change: match };
  }
  if (identity.baseGeneration === generation) {
    return { kind: 'open' };
  }
  if (identity.baseGeneration > generation) {
    return { kind: 'superseded' };
  }
  const nextChange = await findAcceptedChange(reader, knownChanges, identity.baseGeneration + 1);
  if (nextChange === undefined) {
    return { kind: 'forgotten' };
  }
  if (nextChange.changeId !== identity.changeId) {
    return { kind: 'superseded' };
  }
  checkIdentity(identity, nextChange);
  return { kind: 'accepted', change: getAcceptedChange(nextChange) };
}
