import { z } from 'zod';

/** What operators are told about a key: in the reference page and when its value is refused. */
export interface KeyDescription {
  /** What a right value is, such as `whole number, 0 to 5`. */
  type: string;
  /** The unit, such as `ms`; absent for names and switches. */
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

/** One layer inside an optional or defaulted schema, or undefined when there is none. */
function getInner(schema: z.ZodType): z.ZodType | undefined {
  if (schema instanceof z.ZodDefault || schema instanceof z.ZodOptional) {
    return schema.unwrap() as z.ZodType;
  }
  if (schema instanceof z.ZodPrefault) {
    return schema.unwrap() as z.ZodType;
  }
  return schema instanceof z.ZodPipe ? (schema.in as z.ZodType) : undefined;
}

/** The description of a schema or of what it wraps. */
export function getKeyDescription(schema: z.ZodType): KeyDescription | undefined {
  const inner = getInner(schema);
  return descriptions.get(schema) ?? (inner && getKeyDescription(inner));
}

/** Takes optional, default and transforming layers off. */
export function getBareSchema(schema: z.ZodType): z.ZodType {
  const inner = getInner(schema);
  return inner === undefined ? schema : getBareSchema(inner);
}

/** The schema of the value at a path, or undefined when the path leaves the schema. */
export function getSchemaAt(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): z.ZodType | undefined {
  const [step, ...rest] = path;
  if (step === undefined) {
    return schema;
  }
  const bare = getBareSchema(schema);
  if (bare instanceof z.ZodObject) {
    const next = bare.shape[step as string] as z.ZodType | undefined;
    return next && getSchemaAt(next, rest);
  }
  return bare instanceof z.ZodArray ? getSchemaAt(bare.element as z.ZodType, rest) : undefined;
}
