import type { ConfigurationPart, Manifest } from '@apricotrill/configuration';
import { getConfigurationParts, getPartsHash } from '@apricotrill/configuration';
import type { Configuration } from '@apricotrill/model';

/** Creates a configuration with the given number of workspaces; the first has the given weight. */
function createConfiguration(workspaces: number, weight: number): Configuration {
  return {
    register: {
      services: [],
      replicas: [],
      workspaces: Array.from({ length: workspaces }, (_, index) => ({
        name: `workspace-${index}`,
        apiKeyHashes: [],
        weight: index === 0 ? weight : 1,
      })),
    },
    rules: { classes: [], classRules: [] },
  };
}

/** Creates the manifest and the parts of a generation with the given configuration. */
export function createManifestFrom(
  configuration: Configuration,
  generation: number,
): { manifest: Manifest; parts: ConfigurationPart[] } {
  const parts = getConfigurationParts(configuration);
  const manifest = {
    generation,
    changeId: `change-${generation}`,
    author: 'operator',
    acceptedAt: 0,
    contentHash: getPartsHash(parts),
    parts: parts.map(({ name, hash, size }) => ({ name, hash, size })),
    recent: [],
  };
  return { manifest, parts };
}

/** Creates a manifest and its parts; consecutive generations differ in one part. */
export function createManifest(generation: number, workspaces = 20) {
  return createManifestFrom(createConfiguration(workspaces, generation), generation);
}
