import { parseManifest } from '@apricotrill/configuration';
import type { Manifest } from '@apricotrill/configuration';
import { z } from 'zod';
import type { ManifestTransfer, PartsDeltaStep } from '../messages.js';
import { countSchema } from './rumourCodec.js';
import { compressText, textSchema } from './textCodec.js';

/** Encodes manifests as compressed JSON, so that they are validated like those from the store. */

const manifestSchema = textSchema.transform((text, context): Manifest => {
  const parsed = parseManifest(text);
  if (!parsed.ok) {
    context.addIssue(parsed.error);
    return z.NEVER;
  }
  return parsed.value;
});

const stepSchema = z.union([
  z
    .tuple([countSchema, countSchema])
    .transform(([start, length]): PartsDeltaStep => ({ kind: 'keep', start, count: length })),
  z
    .tuple([z.string(), z.string(), countSchema])
    .transform(([name, hash, size]): PartsDeltaStep => ({
      kind: 'add',
      part: { name, hash, size },
    })),
]);

export const transferSchema = z.union([
  z
    .tuple([manifestSchema])
    .transform(([manifest]): ManifestTransfer => ({ kind: 'whole', manifest })),
  z
    .tuple([manifestSchema, countSchema, z.array(stepSchema)])
    .transform(([manifest, baseGeneration, steps]): ManifestTransfer => {
      const { parts, recent, ...header } = manifest;
      return { kind: 'delta', header, delta: { baseGeneration, steps } };
    }),
]);

function encodeStep(step: PartsDeltaStep): unknown[] {
  return step.kind === 'keep'
    ? [step.start, step.count]
    : [step.part.name, step.part.hash, step.part.size];
}

export function encodeTransfer(transfer: ManifestTransfer): unknown[] {
  if (transfer.kind === 'whole') {
    return [compressText(JSON.stringify(transfer.manifest))];
  }
  const { header, delta } = transfer;
  const manifestWithoutParts: Manifest = { ...header, parts: [], recent: [] };
  return [
    compressText(JSON.stringify(manifestWithoutParts)),
    delta.baseGeneration,
    delta.steps.map(encodeStep),
  ];
}
