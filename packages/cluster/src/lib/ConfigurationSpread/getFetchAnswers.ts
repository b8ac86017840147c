import type { ConfigurationSnapshot, Manifest } from '@apricotrill/configuration';
import type { ManifestTransfer, PeerAnswer } from '../messages.js';

/** Texts of parts by hash, as many as fit, the first one in any case. */
function getPage(
  parts: ReadonlyMap<string, string>,
  hashes: readonly string[],
  bytes: number,
): Map<string, string> {
  const page = new Map<string, string>();
  let left = bytes;
  hashes.forEach((hash) => {
    const text = parts.get(hash);
    if (text !== undefined && (page.size === 0 || text.length <= left)) {
      page.set(hash, text);
      left -= text.length;
    }
  });
  return page;
}

/** The hashes of the parts that a peer with the base of a delta cannot have. */
function getAddedHashes(transfer: ManifestTransfer): string[] {
  return transfer.kind === 'whole'
    ? []
    : transfer.delta.steps.flatMap((step) => (step.kind === 'add' ? [step.part.hash] : []));
}

/**
 * What a daemon answers to a peer that asks for its manifest: with the parts that the peer cannot
 * have, if the difference is known, so that an edit needs one round trip.
 */
export function getManifestAnswer(
  inForce: ConfigurationSnapshot | undefined,
  heldGeneration: number,
  getTransfer: (manifest: Manifest) => ManifestTransfer,
  bytes: number,
): PeerAnswer {
  const generation = inForce?.manifest.generation ?? 0;
  if (inForce === undefined || generation <= heldGeneration) {
    return { kind: 'nothing', generation };
  }
  const transfer = getTransfer(inForce.manifest);
  const parts = getPage(inForce.parts, getAddedHashes(transfer), bytes);
  return { kind: 'manifest', generation, transfer, parts };
}

/** What a daemon answers to a peer that asks for parts. */
export function getPartsAnswer(
  inForce: ConfigurationSnapshot | undefined,
  hashes: readonly string[],
  bytes: number,
): PeerAnswer {
  const generation = inForce?.manifest.generation ?? 0;
  const parts = getPage(inForce?.parts ?? new Map<string, string>(), hashes, bytes);
  return { kind: 'parts', generation, parts };
}
