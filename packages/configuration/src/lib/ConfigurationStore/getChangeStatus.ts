import { ConfigurationError } from '../ConfigurationError.js';
import { getAcceptedChange } from '../Manifest.js';
import type { AcceptedChange, Manifest } from '../Manifest.js';
import type { ConfigurationReader } from './ConfigurationReader.js';

/** What is known of a change from what has been accepted by now. */
export type ChangeFate =
  /** Its base is what is accepted: it may still be. */
  | { kind: 'open' }
  | { kind: 'accepted'; change: AcceptedChange }
  /** Another change took its generation. */
  | { kind: 'overtaken' }
  /** The generation it would have is not remembered any more. */
  | { kind: 'forgotten' };

/** What tells one change from another. */
export interface ChangeIdentity {
  changeId: string;
  contentHash: string;
  baseGeneration: number;
}

/**
 * An operator who gives two changes the same identity would be told that the second is accepted
 * although it never was.
 */
function checkIdentity(identity: ChangeIdentity, found: AcceptedChange): void {
  if (found.contentHash !== identity.contentHash) {
    throw new ConfigurationError(
      `the identity "${identity.changeId}" belongs to generation ${found.generation}, which has another content`,
      { step: 'apply', peer: 'platform store' },
    );
  }
}

/** The change that was accepted as a generation, as far back as anything is kept. */
async function getChange(
  reader: ConfigurationReader,
  remembered: readonly AcceptedChange[],
  generation: number,
): Promise<AcceptedChange | undefined> {
  const recent = remembered.find((change) => change.generation === generation);
  return recent ?? (await reader.readArchivedManifest(generation))?.manifest;
}

/**
 * Finds out what became of a change whose confirmation may have been lost. If it was accepted, it
 * became the generation after its base, since the update was conditional on that base; so it is
 * enough to look at that one generation, however many came after it.
 *
 * @param accepted - the manifest accepted now
 * @throws StoreUnavailableError, ConfigurationError
 */
export async function getFate(
  reader: ConfigurationReader,
  identity: ChangeIdentity,
  accepted: Manifest | undefined,
): Promise<ChangeFate> {
  const generation = accepted?.generation ?? 0;
  const remembered =
    accepted === undefined ? [] : [getAcceptedChange(accepted), ...accepted.recent];
  const same = remembered.find(({ changeId }) => changeId === identity.changeId);
  if (same !== undefined) {
    checkIdentity(identity, same);
    return { kind: 'accepted', change: same };
  }
  if (identity.baseGeneration === generation) {
    return { kind: 'open' };
  }
  if (identity.baseGeneration > generation) {
    return { kind: 'overtaken' };
  }
  const next = await getChange(reader, remembered, identity.baseGeneration + 1);
  if (next === undefined) {
    return { kind: 'forgotten' };
  }
  if (next.changeId !== identity.changeId) {
    return { kind: 'overtaken' };
  }
  checkIdentity(identity, next);
  return { kind: 'accepted', change: getAcceptedChange(next) };
}
