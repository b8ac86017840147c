import { UnavailableSettingsError } from '@apricotrill/lifecycle';
import { isJsonc, parseSettings } from '@apricotrill/model';
import type { Settings } from '@apricotrill/model';
import { readFile } from 'node:fs/promises';

/** Thrown for settings that are wrong, with a line for each fault. */
export class SettingsError extends Error {}

/**
 * Reads the settings file.
 *
 * @throws SettingsError if they are wrong
 * @throws UnavailableSettingsError if the file can't be read now, or is incomplete
 */
export async function readSettings(file: string): Promise<Settings> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'EISDIR') {
      throw new SettingsError(`${file}: ${String(error)}`);
    }
    throw new UnavailableSettingsError(`${file}: ${String(error)}`);
  }
  if (!isJsonc(text)) {
    // The file may be in the middle of being written.
    throw new UnavailableSettingsError(`${file}: is not valid JSON with comments`);
  }
  const result = parseSettings(text, file);
  if (result.ok) {
    return result.value;
  }
  const faults = result.error.map(
    ({ file: name, line, column, reason, expected }) =>
      `${name}:${line}:${column}: ${reason}; ${expected}`,
  );
  throw new SettingsError(faults.join('\n'));
}
