import type { LoadableModel } from './EngineClient/EngineClient.js';

const NAME_FORM = /^([^\s:@]+)(?::([^\s:@]+))?(?:@([^\s:@]+))?$/;

/** A name split up; the version is absent where the register names a model alone. */
export interface ModelName {
  model: string;
  adapter?: string;
  version?: string;
}

/**
 * Splits `model[:adapter][@version]`.
 *
 * @returns undefined when the text has another form
 * @example
 * ```ts
 * parseModelName('kielimalli:tarjous@3'); // { model: 'kielimalli', adapter: 'tarjous', version: '3' }
 * ```
 * @internal
 */
export function parseModelName(name: string): ModelName | undefined {
  const match = NAME_FORM.exec(name);
  if (match === null) {
    return undefined;
  }
  const [, model, adapter, version] = match;
  return { model: model!, ...(adapter && { adapter }), ...(version && { version }) };
}

/**
 * Splits a name that an engine can load.
 *
 * @returns undefined when it names no version: nothing says which one to load
 * @internal
 */
export function getLoadableModel(name: string): LoadableModel | undefined {
  const parsed = parseModelName(name);
  return parsed?.version === undefined ? undefined : { ...parsed, version: parsed.version };
}

/**
 * The name without its version: copies of one base answer the same callers.
 *
 * @internal
 */
export function getBaseName(name: string): string {
  return name.split('@', 1)[0]!;
}

/**
 * The name of what can be loaded, as engines report it.
 *
 * @internal
 */
export function getLoadableName({ model, adapter, version }: LoadableModel): string {
  return adapter === undefined ? `${model}@${version}` : `${model}:${adapter}@${version}`;
}
