import { failure, success } from '@apricotrill/utils';
import type { Result } from '@apricotrill/utils';
import type { z } from 'zod';
import type { Diagnostic, Fault } from './Diagnostic.js';
import { JsoncText } from './jsonc/JsoncText.js';
import { getSchemaFaults } from './schemas/getSchemaFaults.js';

/** A value and the text it came from, so that later checks can point at its lines. */
export interface ParsedText<Value> {
  value: Value;
  text: JsoncText;
}

/** Ties faults to the lines of a text, in the order of the lines. */
export function locateFaults(text: JsoncText, faults: readonly Fault[]): Diagnostic[] {
  return faults
    .map((fault) => text.locate(fault))
    .sort((left, right) => left.line - right.line || left.column - right.column);
}

/**
 * Reads a text of JSON with comments through a schema, then through checks that the schema cannot
 * express.
 *
 * @param content - the text
 * @param file - its name, for diagnostics
 * @param check - finds faults in a value that the schema took
 */
export function parseText<Schema extends z.ZodType>(
  content: string,
  file: string,
  schema: Schema,
  check: (value: z.output<Schema>) => Fault[],
): Result<ParsedText<z.output<Schema>>, Diagnostic[]> {
  const text = new JsoncText(content, file);
  const syntax = text.getSyntaxDiagnostics();
  if (syntax.length > 0) {
    return failure(syntax);
  }
  const parsed = schema.safeParse(text.getValue());
  const faults = parsed.success
    ? check(parsed.data)
    : getSchemaFaults(schema, text.getValue(), parsed.error.issues);
  return parsed.success && faults.length === 0
    ? success({ value: parsed.data, text })
    : failure(locateFaults(text, faults));
}
