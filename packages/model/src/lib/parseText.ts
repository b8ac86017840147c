import { failure, success } from '@apricotrill/utils';
import type { Result } from '@apricotrill/utils';
import type { z } from 'zod';
import type { Diagnostic, Fault } from './Diagnostic.js';
import { JsoncText } from './jsonc/JsoncText.js';
import { getSchemaFaults } from './schemas/getSchemaFaults.js';

/** A parsed value with its source text, so that later checks can report line numbers. */
export interface ParsedText<Value> {
  value: Value;
  text: JsoncText;
}

/** Converts faults to diagnostics with positions in the text, in the order of these positions. */
export function locateFaults(text: JsoncText, faults: readonly Fault[]): Diagnostic[] {
  return faults
    .map((fault) => text.locate(fault))
    .sort((left, right) => left.line - right.line || left.column - right.column);
}

/**
 * Parses JSON with comments and validates it against a schema, then with checks that the schema
 * cannot express.
 *
 * @param content - the file's content
 * @param file - its name, for diagnostics
 * @param check - finds faults in a value that the schema accepted
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
