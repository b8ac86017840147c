import { readFile } from 'node:fs/promises';
import { parseConfiguration, parseSettings } from '@apricotrill/model';
import type { Configuration, Settings } from '@apricotrill/model';
import { StepError } from '@apricotrill/utils';
import { RefusedFilesError } from './InvalidFilesError.js';

/** A file that is not there or cannot be read. */
export class UnreadableFileError extends StepError {}

async function readText(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (cause) {
    throw new UnreadableFileError((cause as Error).message, { step: 'read', peer: file, cause });
  }
}

/**
 * Reads and checks the operators' two files.
 *
 * @throws UnreadableFileError, RefusedFilesError
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
    throw new RefusedFilesError(parsed.error);
  }
  return parsed.value;
}

/**
 * Reads and checks a daemon's settings.
 *
 * @throws UnreadableFileError, RefusedFilesError
 */
export async function readSettings(file: string): Promise<Settings> {
  const parsed = parseSettings(await readText(file), file);
  if (!parsed.ok) {
    throw new RefusedFilesError(parsed.error);
  }
  return parsed.value;
}
