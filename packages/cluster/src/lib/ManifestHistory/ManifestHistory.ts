import type { Manifest, PartReference } from '@apricotrill/configuration';
import { getPartsHash } from '@apricotrill/configuration';
import type { ManifestTransfer, PartsDelta, PartsDeltaStep } from '../messages.js';

/** A peer that holds one of this many latest generations is sent a delta. */
const MAX_GENERATIONS = 32;

function getPartKey({ name, hash }: PartReference): string {
  return `${name} ${hash}`;
}

/** Creates the steps that derive the parts from those of the base. */
function createDeltaSteps(
  base: readonly PartReference[],
  parts: readonly PartReference[],
): PartsDeltaStep[] {
  const baseIndexes = new Map(base.map((part, index) => [getPartKey(part), index]));
  const steps: PartsDeltaStep[] = [];
  parts.forEach((part) => {
    const baseIndex = baseIndexes.get(getPartKey(part));
    const lastStep = steps[steps.length - 1];
    if (baseIndex === undefined) {
      steps.push({ kind: 'add', part });
    } else if (lastStep?.kind === 'keep' && lastStep.start + lastStep.count === baseIndex) {
      steps[steps.length - 1] = { ...lastStep, count: lastStep.count + 1 };
    } else {
      steps.push({ kind: 'keep', start: baseIndex, count: 1 });
    }
  });
  return steps;
}

/**
 * The part lists of the latest generations that were active here. At full size a manifest names
 * hundreds of parts and an edit changes one of them, so peers send each other deltas. The field
 * `recent`, which is needed only to apply changes, is not sent.
 */
export class ManifestHistory {
  private readonly partsByGeneration = new Map<number, readonly PartReference[]>();

  /** Adds a generation that has become active. */
  add(manifest: Manifest): void {
    this.partsByGeneration.set(manifest.generation, manifest.parts);
    if (this.partsByGeneration.size > MAX_GENERATIONS) {
      this.partsByGeneration.delete(this.partsByGeneration.keys().next().value!);
    }
  }

  /** Creates the transfer of a manifest to a peer that holds a generation. */
  createTransfer(manifest: Manifest, heldGeneration: number): ManifestTransfer {
    const base = this.partsByGeneration.get(heldGeneration);
    if (base === undefined) {
      return { kind: 'whole', manifest: { ...manifest, recent: [] } };
    }
    const { parts, recent, ...header } = manifest;
    const delta = { baseGeneration: heldGeneration, steps: createDeltaSteps(base, parts) };
    return { kind: 'delta', header, delta };
  }

  /**
   * Restores the manifest that a peer sent.
   *
   * @returns undefined if the base of a delta is unknown, or if the content hash does not match
   */
  resolveTransfer(transfer: ManifestTransfer): Manifest | undefined {
    if (transfer.kind === 'whole') {
      return transfer.manifest;
    }
    const parts = this.applyDelta(transfer.delta);
    return parts !== undefined && getPartsHash(parts) === transfer.header.contentHash
      ? { ...transfer.header, parts, recent: [] }
      : undefined;
  }

  private applyDelta({ baseGeneration, steps }: PartsDelta): PartReference[] | undefined {
    const base = this.partsByGeneration.get(baseGeneration);
    return (
      base &&
      steps.flatMap((step) =>
        step.kind === 'add' ? [step.part] : base.slice(step.start, step.start + step.count),
      )
    );
  }
}
