import { z } from 'zod';

/** Description of a key, for the reference page and for diagnostics when its value is rejected. */
export interface KeyDescription {
  /** What a valid value is, such as `whole number, 0 to 5`. */
  type: string;
  /** The unit, such as `ms`; absent for values without one, such as names and booleans. */
  unit?: string;
  meaning: string;
}

const descriptions = z.registry<KeyDescription>();

/** Attaches the description of a key to its schema. */
export function describeKey<Schema extends z.ZodType>(
  schema: Schema,
  description: KeyDescription,
): Schema {
  descriptions.add(schema, description);
  return schema;
}

/** Removes one wrapper (optional, default or transform); undefined when there is none. */
function removeWrapper(schema: z.ZodType): z.ZodType | undefined {
  if (schema instanceof z.ZodDefault || schema instanceof z.ZodOptional) {
    return schema.unwrap() as z.ZodType;
  }
  if (schema instanceof z.ZodPrefault) {
    return schema.unwrap() as z.ZodType;
  }
  return schema instanceof z.ZodPipe ? (schema.in as z.ZodType) : undefined;
}

/** Returns the description of a schema or of the schema that it wraps. */
export function getKeyDescription(schema: z.ZodType): KeyDescription | undefined {
  const inner = removeWrapper(schema);
  return descriptions.get(schema) ?? (inner && getKeyDescription(inner));
}

/** Removes all optional, default and transform wrappers. */
export function unwrapSchema(schema: z.ZodType): z.ZodType {
  const inner = removeWrapper(schema);
  return inner === undefined ? schema : unwrapSchema(inner);
}

/** Returns the schema of the value at a path, or undefined when the schema has no such path. */
export function getSchemaAt(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): z.ZodType | undefined {
  const [step, ...rest] = path;
  if (step === undefined) {
    return schema;
  }
  const bare = unwrapSchema(schema);
  if (bare instanceof z.ZodObject) {
    const next = bare.shape[step as string] as z.ZodType | undefined;
    return next && getSchemaAt(next, rest);
  }
  return bare instanceof z.ZodArray ? getSchemaAt(bare.element as z.ZodType, rest) : undefined;
}
