import { success } from '@apricotrill/utils';
import type { Result } from '@apricotrill/utils';
import { getDuplicateFaults } from './checks/getDuplicateFaults.js';
import type { Diagnostic } from './Diagnostic.js';
import { parseText } from './parseText.js';
import { settingsSchema } from './schemas/settingsSchema.js';
import type { Settings } from './Settings.js';

/** Two listeners cannot share a port; 0 means any free port and may occur more than once. */
function checkPorts(settings: Settings) {
  const ports = (['port', 'meshPort', 'adminPort'] as const)
    .filter((key) => settings[key] !== 0)
    .map((key) => ({ value: String(settings[key]), path: [key] }));
  return getDuplicateFaults('port', ports);
}

/**
 * Parses a daemon's settings (JSON with comments). Absent keys take their documented defaults.
 *
 * @param text - the file's content
 * @param file - its name, for diagnostics
 * @returns the settings, or every fault with its line
 * @example
 * ```ts
 * const settings = parseSettings(await readFile(file, 'utf8'), file);
 * ```
 * @public
 */
export function parseSettings(text: string, file: string): Result<Settings, Diagnostic[]> {
  const result = parseText(text, file, settingsSchema, checkPorts);
  return result.ok ? success(result.value.value) : result;
}
