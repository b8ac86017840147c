import type { LoadableModel } from './EngineClient/EngineClient.js';

const MODEL_NAME_PATTERN = /^([^\s:@]+)(?::([^\s:@]+))?(?:@([^\s:@]+))?$/;

/** A parsed model name; the version is absent when the register names a model without one. */
export interface ModelName {
  model: string;
  adapter?: string;
  version?: string;
}

/**
 * Parses `model[:adapter][@version]`.
 *
 * @returns undefined when the text does not have this format
 * @example
 * ```ts
 * parseModelName('kielimalli:tarjous@3'); // { model: 'kielimalli', adapter: 'tarjous', version: '3' }
 * ```
 * @internal
 */
export function parseModelName(name: string): ModelName | undefined {
  const match = MODEL_NAME_PATTERN.exec(name);
  if (match === null) {
    return undefined;
  }
  const [, model, adapter, version] = match;
  return { model: model!, ...(adapter && { adapter }), ...(version && { version }) };
}

/**
 * Parses a model name that includes the version to load.
 *
 * @returns undefined when the name has no version or is invalid
 * @internal
 */
export function getLoadableModel(name: string): LoadableModel | undefined {
  const parsed = parseModelName(name);
  return parsed?.version === undefined ? undefined : { ...parsed, version: parsed.version };
}

/**
 * The name without its version. Versions of the same base name serve the same requests.
 *
 * @internal
 */
export function getBaseName(name: string): string {
  return name.split('@', 1)[0]!;
}

/**
 * The name of a loadable model, as engines report it.
 *
 * @internal
 */
export function getLoadableName({ model, adapter, version }: LoadableModel): string {
  return adapter === undefined ? `${model}@${version}` : `${model}:${adapter}@${version}`;
}
