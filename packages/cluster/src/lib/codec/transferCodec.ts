import { parseManifest } from '@apricotrill/configuration';
import type { Manifest } from '@apricotrill/configuration';
import { z } from 'zod';
import type { ManifestTransfer, PartStep } from '../messages.js';
import { count } from './rumourCodec.js';
import { compressText, textSchema } from './textCodec.js';

/** Manifests as compressed JSON, which is how they are checked when they come from the store. */

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
    .tuple([count, count])
    .transform(([start, length]): PartStep => ({ kind: 'keep', start, count: length })),
  z
    .tuple([z.string(), z.string(), count])
    .transform(([name, hash, size]): PartStep => ({ kind: 'add', part: { name, hash, size } })),
]);

export const transferSchema = z.union([
  z
    .tuple([manifestSchema])
    .transform(([manifest]): ManifestTransfer => ({ kind: 'whole', manifest })),
  z
    .tuple([manifestSchema, count, z.array(stepSchema)])
    .transform(([manifest, baseGeneration, steps]): ManifestTransfer => {
      const { parts, recent, ...head } = manifest;
      return { kind: 'delta', head, delta: { baseGeneration, steps } };
    }),
]);

function encodeStep(step: PartStep): unknown[] {
  return step.kind === 'keep'
    ? [step.start, step.count]
    : [step.part.name, step.part.hash, step.part.size];
}

export function encodeTransfer(transfer: ManifestTransfer): unknown[] {
  if (transfer.kind === 'whole') {
    return [compressText(JSON.stringify(transfer.manifest))];
  }
  const { head, delta } = transfer;
  const empty: Manifest = { ...head, parts: [], recent: [] };
  return [compressText(JSON.stringify(empty)), delta.baseGeneration, delta.steps.map(encodeStep)];
}
