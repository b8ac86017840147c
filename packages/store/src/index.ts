export type { CallCounters } from './lib/CallCounters.js';
export { InstanceDirectory } from './lib/InstanceDirectory/InstanceDirectory.js';
export { InstanceRole, InstanceState } from './lib/InstanceList.js';
export type { Instance, InstanceList } from './lib/InstanceList.js';
export { LaggedValue } from './lib/LaggedValue/LaggedValue.js';
export type { TimestampedValue } from './lib/LaggedValue/LaggedValue.js';
export { ObjectStore } from './lib/ObjectStore/ObjectStore.js';
export { StoreUnavailableError } from './lib/PlatformStore.js';
export type { PlatformStore, PutResult, StoreChange, StoredObject } from './lib/PlatformStore.js';
export { StoreFaultInjector } from './lib/StoreFaultInjector/StoreFaultInjector.js';
export type { StoreFault, WriteOutcome } from './lib/StoreFaultInjector/StoreFaultInjector.js';
export { MAX_VALUE_BYTES, ValueTooLargeError } from './lib/ValueTooLargeError.js';
export { HttpInstanceList } from './lib/HttpInstanceList/HttpInstanceList.js';
export { defaultHttpPlatformOptions } from './lib/HttpPlatformStore/HttpPlatformOptions.js';
export type {
  HttpPlatformOptions,
  HttpPlatformSettings,
} from './lib/HttpPlatformStore/HttpPlatformOptions.js';
export { HttpPlatformStore } from './lib/HttpPlatformStore/HttpPlatformStore.js';
export { MemoryInstanceList } from './lib/MemoryInstanceList.js';
export {
  defaultMemoryPlatformOptions,
  MemoryPlatformStore,
} from './lib/MemoryPlatformStore/MemoryPlatformStore.js';
export type {
  MemoryPlatformOptions,
  MemoryPlatformSettings,
} from './lib/MemoryPlatformStore/MemoryPlatformStore.js';
