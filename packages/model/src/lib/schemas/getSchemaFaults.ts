import { z } from 'zod';
import type { Fault, ValuePath } from '../Diagnostic.js';
import { getExpectedChoice } from '../getSuggestion.js';
import { unwrapSchema, getKeyDescription, getSchemaAt } from './describeKey.js';

const MAX_VALUE_LENGTH = 60;

/** Returns the value at a path, or undefined when the path does not exist. */
function getValueAt(value: unknown, path: ValuePath): unknown {
  return path.reduce<unknown>(
    (inner, step) =>
      typeof inner === 'object' && inner !== null
        ? (inner as Record<string | number, unknown>)[step]
        : undefined,
    value,
  );
}

/** Formats a value as JSON, truncated to a readable length. */
function formatValue(value: unknown): string {
  const text = JSON.stringify(value);
  return text.length > MAX_VALUE_LENGTH ? `${text.slice(0, MAX_VALUE_LENGTH)}…` : text;
}

/** Describes a valid value at a path, from the description of its key or of an enclosing list. */
function getExpectedType(schema: z.ZodType, path: ValuePath): string {
  for (let { length } = path; length >= 0; length -= 1) {
    const inner = getSchemaAt(schema, path.slice(0, length));
    const description = inner && getKeyDescription(inner);
    if (description !== undefined) {
      return description.type;
    }
    if (
      length === path.length &&
      inner !== undefined &&
      unwrapSchema(inner) instanceof z.ZodObject
    ) {
      return 'an object';
    }
  }
  return 'an object';
}

function getUnknownKeyFaults(schema: z.ZodType, path: ValuePath, keys: string[]): Fault[] {
  const owner = getSchemaAt(schema, path);
  const bare = owner && unwrapSchema(owner);
  const known = bare instanceof z.ZodObject ? Object.keys(bare.shape) : [];
  return keys.map((key) => ({
    path: [...path, key],
    reason: `unknown key "${key}"`,
    expected: getExpectedChoice(key, known),
    isAtKey: true,
  }));
}

/**
 * Converts validation issues of the schema into faults that name the invalid value and what is expected.
 *
 * @param schema - the schema that rejected the value
 * @param value - the rejected value
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
    const invalid = getValueAt(value, path);
    const reason = invalid === undefined ? 'missing' : `${formatValue(invalid)} is not valid`;
    return [{ path, reason, expected: getExpectedType(schema, path) }];
  });
}
