import type { ConfigurationSnapshot, Manifest } from '@apricotrill/configuration';
import type { ManifestTransfer, PeerResponse } from '../messages.js';

/** Selects part texts by hash, as many as fit, but at least one. */
function getPartsPage(
  parts: ReadonlyMap<string, string>,
  hashes: readonly string[],
  maxBytes: number,
): Map<string, string> {
  const page = new Map<string, string>();
  let remainingBytes = maxBytes;
  hashes.forEach((hash) => {
    const text = parts.get(hash);
    if (text !== undefined && (page.size === 0 || text.length <= remainingBytes)) {
      page.set(hash, text);
      remainingBytes -= text.length;
    }
  });
  return page;
}

/** Hashes of the parts that a delta adds, which a peer that holds its base may lack. */
function getAddedPartHashes(transfer: ManifestTransfer): string[] {
  return transfer.kind === 'whole'
    ? []
    : transfer.delta.steps.flatMap((step) => (step.kind === 'add' ? [step.part.hash] : []));
}

/**
 * Creates the response to a peer that fetches the manifest. With a delta it includes the added
 * parts, so that an edit needs only one round trip.
 */
export function createManifestResponse(
  snapshot: ConfigurationSnapshot | undefined,
  heldGeneration: number,
  createTransfer: (manifest: Manifest) => ManifestTransfer,
  maxBytes: number,
): PeerResponse {
  const generation = snapshot?.manifest.generation ?? 0;
  if (snapshot === undefined || generation <= heldGeneration) {
    return { kind: 'nack', generation };
  }
  const transfer = createTransfer(snapshot.manifest);
  const parts = getPartsPage(snapshot.parts, getAddedPartHashes(transfer), maxBytes);
  return { kind: 'manifest', generation, transfer, parts };
}

/** Creates the response to a peer that fetches parts. */
export function createPartsResponse(
  snapshot: ConfigurationSnapshot | undefined,
  hashes: readonly string[],
  maxBytes: number,
): PeerResponse {
  const generation = snapshot?.manifest.generation ?? 0;
  const parts = getPartsPage(snapshot?.parts ?? new Map<string, string>(), hashes, maxBytes);
  return { kind: 'parts', generation, parts };
}
