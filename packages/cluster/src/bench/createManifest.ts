import type { ConfigurationPart, Manifest } from '@apricotrill/configuration';
import { getConfigurationParts, getPartsHash } from '@apricotrill/configuration';
import type { Configuration } from '@apricotrill/model';

/** A configuration of some workspaces, one of which has the given weight. */
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

/** A generation with the given content. */
export function createManifestOf(
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

/** A manifest and its parts; neighbouring generations differ in one part. */
export function createManifest(generation: number, workspaces = 20) {
  return createManifestOf(createConfiguration(workspaces, generation), generation);
}
