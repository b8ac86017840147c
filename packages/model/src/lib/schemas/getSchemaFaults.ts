import { z } from 'zod';
import type { Fault, ValuePath } from '../Diagnostic.js';
import { getChoice } from '../getSuggestion.js';
import { getBareSchema, getKeyDescription, getSchemaAt } from './describeKey.js';

const LONGEST_SHOWN_VALUE = 60;

/** The value at a path, or undefined where the path ends early. */
function getValueAt(value: unknown, path: ValuePath): unknown {
  return path.reduce<unknown>(
    (inner, step) =>
      typeof inner === 'object' && inner !== null
        ? (inner as Record<string | number, unknown>)[step]
        : undefined,
    value,
  );
}

/** The value as operators wrote it, cut short. */
function getShownValue(value: unknown): string {
  const text = JSON.stringify(value);
  return text.length > LONGEST_SHOWN_VALUE ? `${text.slice(0, LONGEST_SHOWN_VALUE)}…` : text;
}

/** What a right value looks like: from the key, or from the list the value stands in. */
function getExpectedForm(schema: z.ZodType, path: ValuePath): string {
  for (let { length } = path; length >= 0; length -= 1) {
    const inner = getSchemaAt(schema, path.slice(0, length));
    const description = inner && getKeyDescription(inner);
    if (description !== undefined) {
      return description.type;
    }
    if (
      length === path.length &&
      inner !== undefined &&
      getBareSchema(inner) instanceof z.ZodObject
    ) {
      return 'an object';
    }
  }
  return 'an object';
}

function getUnknownKeyFaults(schema: z.ZodType, path: ValuePath, keys: string[]): Fault[] {
  const owner = getSchemaAt(schema, path);
  const bare = owner && getBareSchema(owner);
  const known = bare instanceof z.ZodObject ? Object.keys(bare.shape) : [];
  return keys.map((key) => ({
    path: [...path, key],
    reason: `unknown key "${key}"`,
    expected: getChoice(key, known),
    atKey: true,
  }));
}

/**
 * Turns what the schema found into faults for operators: each names the value and its right form.
 *
 * @param schema - the schema that refused the value
 * @param value - the refused value
 */
export function getSchemaFaults(
  schema: z.ZodType,
  value: unknown,
  issues: readonly z.core.$ZodIssue[],
): Fault[] {
  return issues.flatMap((issue) => {
    const path = issue.path as ValuePath;
    if (issue.code === 'unrecognized_keys') {
      return getUnknownKeyFaults(schema, path, issue.keys);
    }
    const wrong = getValueAt(value, path);
    const reason = wrong === undefined ? 'missing' : `${getShownValue(wrong)} is not valid`;
    return [{ path, reason, expected: getExpectedForm(schema, path) }];
  });
}
