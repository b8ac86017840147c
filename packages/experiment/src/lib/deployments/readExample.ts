import { readFileSync } from 'node:fs';
import { formatDiagnostic, parseConfiguration } from '@apricotrill/model';
import type { Configuration } from '@apricotrill/model';

const EXAMPLES_URL = new URL('../../../../../examples/', import.meta.url);

function readText(name: string, file: string): string {
  return readFileSync(new URL(`${name}/${file}`, EXAMPLES_URL), 'utf8');
}

/**
 * Reads one of the example configurations that the documentation shows.
 *
 * @param name - the folder under `examples`
 * @throws Error with all diagnostics when the example is invalid
 * @internal
 */
export function readExample(name: string): Configuration {
  const parsed = parseConfiguration({
    registerText: readText(name, 'register.jsonc'),
    registerFile: `${name}/register.jsonc`,
    rulesText: readText(name, 'rules.jsonc'),
    rulesFile: `${name}/rules.jsonc`,
  });
  if (!parsed.ok) {
    throw new Error(parsed.error.map(formatDiagnostic).join('\n'));
  }
  return parsed.value;
}
