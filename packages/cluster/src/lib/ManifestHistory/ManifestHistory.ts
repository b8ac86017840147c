import type { Manifest, PartReference } from '@apricotrill/configuration';
import { getPartsHash } from '@apricotrill/configuration';
import type { ManifestTransfer, PartsDelta, PartStep } from '../messages.js';

/** So many generations back a peer is told the difference only. */
const KEPT_GENERATIONS = 32;

function getPartKey({ name, hash }: PartReference): string {
  return `${name} ${hash}`;
}

/** The steps that write the parts from the base's. */
function getSteps(base: readonly PartReference[], parts: readonly PartReference[]): PartStep[] {
  const places = new Map(base.map((part, index) => [getPartKey(part), index]));
  const steps: PartStep[] = [];
  parts.forEach((part) => {
    const place = places.get(getPartKey(part));
    const last = steps[steps.length - 1];
    if (place === undefined) {
      steps.push({ kind: 'add', part });
    } else if (last?.kind === 'keep' && last.start + last.count === place) {
      steps[steps.length - 1] = { ...last, count: last.count + 1 };
    } else {
      steps.push({ kind: 'keep', start: place, count: 1 });
    }
  });
  return steps;
}

/**
 * The manifests of the last generations in force here. At full size a manifest names hundreds of
 * parts and an edit changes one, so peers tell each other the difference. What only those who
 * apply changes need (`recent`) stays at the store.
 */
export class ManifestHistory {
  private readonly parts = new Map<number, readonly PartReference[]>();

  /** Keeps a generation that came in force. */
  add(manifest: Manifest): void {
    this.parts.set(manifest.generation, manifest.parts);
    if (this.parts.size > KEPT_GENERATIONS) {
      this.parts.delete(this.parts.keys().next().value!);
    }
  }

  /** The manifest for a peer that holds a generation. */
  getTransfer(manifest: Manifest, heldGeneration: number): ManifestTransfer {
    const base = this.parts.get(heldGeneration);
    if (base === undefined) {
      return { kind: 'whole', manifest: { ...manifest, recent: [] } };
    }
    const { parts, recent, ...head } = manifest;
    const delta = { baseGeneration: heldGeneration, steps: getSteps(base, parts) };
    return { kind: 'delta', head, delta };
  }

  /**
   * The manifest that a peer sent.
   *
   * @returns undefined when it cannot be put together, or isn't the one it claims to be
   */
  getManifest(transfer: ManifestTransfer): Manifest | undefined {
    if (transfer.kind === 'whole') {
      return transfer.manifest;
    }
    const parts = this.applyDelta(transfer.delta);
    return parts !== undefined && getPartsHash(parts) === transfer.head.contentHash
      ? { ...transfer.head, parts, recent: [] }
      : undefined;
  }

  private applyDelta({ baseGeneration, steps }: PartsDelta): PartReference[] | undefined {
    const base = this.parts.get(baseGeneration);
    return (
      base &&
      steps.flatMap((step) =>
        step.kind === 'add' ? [step.part] : base.slice(step.start, step.start + step.count),
      )
    );
  }
}
