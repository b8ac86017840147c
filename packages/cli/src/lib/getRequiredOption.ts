import { UsageError } from 'clipanion';

/**
 * Returns the value of a mandatory option. Clipanion's own check for a required option would report
 * that the command does not exist.
 *
 * @throws UsageError
 */
export function getRequiredOption<Value>(
  value: Value | undefined,
  option: string,
  hint: string,
): Value {
  if (value === undefined) {
    throw new UsageError(`${option} is missing: ${hint}`);
  }
  return value;
}
