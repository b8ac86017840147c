import { parseConfiguration } from '@apricotrill/model';
import type { Configuration } from '@apricotrill/model';
import { StepError } from '@apricotrill/utils';
import { readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';

/** The example deployments in the repository. */
export enum Example {
  Liitto = 'liitto',
  NubeTica = 'nube-tica',
}

/** Whether a text is the name of an example. */
export function isExample(text: string): text is Example {
  return Object.values<string>(Example).includes(text);
}

/**
 * Reads an example deployment and validates it like any other configuration.
 *
 * @throws StepError with the first invalid line
 * @example
 * ```ts
 * const configuration = await readExample(Example.NubeTica);
 * ```
 * @internal
 */
export async function readExample(example: Example): Promise<Configuration> {
  const folder = fileURLToPath(new URL(`../../../../examples/${example}/`, import.meta.url));
  const result = parseConfiguration({
    registerText: await readFile(`${folder}register.jsonc`, 'utf8'),
    registerFile: 'register.jsonc',
    rulesText: await readFile(`${folder}rules.jsonc`, 'utf8'),
    rulesFile: 'rules.jsonc',
  });
  if (result.ok) {
    return result.value;
  }
  const [first] = result.error;
  throw new StepError(`line ${first?.line}: ${first?.reason}`, {
    step: 'demo',
    peer: first?.file ?? example,
  });
}
