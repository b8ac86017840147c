import { readFile } from 'node:fs/promises';
import { parseConfiguration, parseSettings } from '@apricotrill/model';
import type { Configuration, Settings } from '@apricotrill/model';
import { StepError } from '@apricotrill/utils';
import { InvalidFilesError } from './InvalidFilesError.js';

/** A file is missing or cannot be read. */
export class UnreadableFileError extends StepError {}

async function readText(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (cause) {
    throw new UnreadableFileError((cause as Error).message, { step: 'read', peer: file, cause });
  }
}

/**
 * Reads and validates the register and the rules.
 *
 * @throws UnreadableFileError, InvalidFilesError
 */
export async function readConfiguration(
  registerFile: string,
  rulesFile: string,
): Promise<Configuration> {
  const [registerText, rulesText] = await Promise.all([
    readText(registerFile),
    readText(rulesFile),
  ]);
  const parsed = parseConfiguration({ registerText, registerFile, rulesText, rulesFile });
  if (!parsed.ok) {
    throw new InvalidFilesError(parsed.error);
  }
  return parsed.value;
}

/**
 * Reads and validates a daemon's settings.
 *
 * @throws UnreadableFileError, InvalidFilesError
 */
export async function readSettings(file: string): Promise<Settings> {
  const parsed = parseSettings(await readText(file), file);
  if (!parsed.ok) {
    throw new InvalidFilesError(parsed.error);
  }
  return parsed.value;
}
