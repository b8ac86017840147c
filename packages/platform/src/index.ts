export { InstanceRole, InstanceState } from './lib/InstanceList.js';
export type { Instance, InstanceList } from './lib/InstanceList.js';
export { StoreUnavailableError } from './lib/PlatformStore.js';
export type { PlatformStore, PutOutcome, StoreChange, StoredObject } from './lib/PlatformStore.js';
