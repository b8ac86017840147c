export { ConfigurationError } from './lib/ConfigurationError.js';
export { ConfigurationStore } from './lib/ConfigurationStore/ConfigurationStore.js';
export type {
  ApplyResult,
  ConfigurationChange,
} from './lib/ConfigurationStore/ConfigurationStore.js';
export type { GarbageCollectionResult } from './lib/ConfigurationStore/GarbageCollector.js';
export { EMPTY_CONFIGURATION, getConfigurationDiff } from './lib/diff/getConfigurationDiff.js';
export type { ConfigurationDifference, FieldChange } from './lib/diff/getConfigurationDiff.js';
export { ActiveConfiguration } from './lib/ActiveConfiguration/ActiveConfiguration.js';
export type {
  ConfigurationSnapshot,
  ActivationResult,
} from './lib/ActiveConfiguration/ActiveConfiguration.js';
export { MANIFEST_KEY, PART_PREFIX, getAcceptedChange, parseManifest } from './lib/Manifest.js';
export type { AcceptedChange, Manifest, PartReference } from './lib/Manifest.js';
export type { ConfigurationOptions } from './lib/options.js';
export { assembleConfiguration } from './lib/parts/assembleConfiguration.js';
export type { AssemblyError } from './lib/parts/assembleConfiguration.js';
export { EntryList } from './lib/parts/entryLists.js';
export type { Entry } from './lib/parts/entryLists.js';
export { getConfigurationParts, getPartsHash } from './lib/parts/getConfigurationParts.js';
export type { ConfigurationPart } from './lib/parts/getConfigurationParts.js';
