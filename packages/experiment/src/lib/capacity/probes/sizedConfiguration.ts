import { getConfigurationParts, getPartsHash } from '@apricotrill/configuration';
import type { Manifest } from '@apricotrill/configuration';
import type { Configuration } from '@apricotrill/model';
import { createConfiguration } from '../createConfiguration.js';
import { twoYearSize } from '../twoYearSize.js';

/** A generation as it is offered to a daemon. */
export interface Generation {
  manifest: Manifest;
  /** Part texts by hash. */
  texts: Map<string, string>;
}

/** A configuration of so many replicas; its other entries grow in proportion. */
export function createSizedConfiguration(replicas: number): Configuration {
  const part = replicas / twoYearSize.replicas;
  const workspaces = Math.round(twoYearSize.workspaces * part);
  return createConfiguration({ ...twoYearSize, replicas, workspaces });
}

/** Cuts a configuration into the parts of a generation. */
export function createGeneration(configuration: Configuration, generation: number): Generation {
  const parts = getConfigurationParts(configuration);
  const manifest: Manifest = {
    generation,
    changeId: `change-${generation}`,
    author: 'operator',
    acceptedAt: 0,
    contentHash: getPartsHash(parts),
    parts: parts.map(({ name, hash, size }) => ({ name, hash, size })),
    recent: [],
  };
  return { manifest, texts: new Map(parts.map(({ hash, text }) => [hash, text])) };
}

/** The configuration with one replica drained: the most usual edit. */
export function createEdited(configuration: Configuration, edit: number): Configuration {
  const { register, rules } = configuration;
  const replicas = register.replicas.map((replica, index) =>
    index === edit ? { ...replica, slots: 1 } : replica,
  );
  return { register: { ...register, replicas }, rules };
}
