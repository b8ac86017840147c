import { z } from 'zod';
import { unwrapSchema, getKeyDescription } from '../lib/schemas/describeKey.js';

/** How the reference page marks a key that is required, or that is optional without a default. */
const REQUIRED = 'required';
const ABSENT = 'absent';

function getDefault(schema: z.ZodType): string {
  if (schema instanceof z.ZodDefault) {
    return `\`${JSON.stringify(schema.def.defaultValue)}\``;
  }
  if (schema instanceof z.ZodPrefault) {
    return 'its defaults';
  }
  return schema instanceof z.ZodOptional ? ABSENT : REQUIRED;
}

function getRow(path: string, schema: z.ZodType): string {
  const description = getKeyDescription(schema);
  if (description === undefined) {
    throw new Error(`${path} has no description`);
  }
  const { type, unit = '', meaning } = description;
  return `| \`${path}\` | ${type} | ${unit} | ${getDefault(schema)} | ${meaning} |`;
}

/** Returns a row of the reference page for each key of a schema, in the schema's order. */
export function getKeyRows(schema: z.ZodType, prefix = ''): string[] {
  const bare = unwrapSchema(schema);
  if (bare instanceof z.ZodArray) {
    return getKeyRows(bare.element as z.ZodType, `${prefix}[]`);
  }
  if (!(bare instanceof z.ZodObject)) {
    return [];
  }
  return Object.entries(bare.shape as Record<string, z.ZodType>).flatMap(([key, inner]) => {
    const path = prefix === '' ? key : `${prefix}.${key}`;
    return [getRow(path, inner), ...getKeyRows(inner, path)];
  });
}
