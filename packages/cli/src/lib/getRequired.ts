import { UsageError } from 'clipanion';

/**
 * The value of an option that a command cannot do without. Clipanion's own check would answer that
 * the command does not exist.
 *
 * @throws UsageError
 */
export function getRequired<Value>(value: Value | undefined, option: string, hint: string): Value {
  if (value === undefined) {
    throw new UsageError(`${option} is missing: ${hint}`);
  }
  return value;
}
