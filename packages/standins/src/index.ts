export { CertificateAuthority } from './lib/authority/CertificateAuthority.js';
export type { IssuedKeys } from './lib/authority/CertificateAuthority.js';
export { BackendFaultSwitch } from './lib/backend/BackendFaultSwitch.js';
export type { BackendFault } from './lib/backend/BackendFaultSwitch.js';
export type { CacheEvent } from './lib/engine/CacheEventLog.js';
export { EngineBatch } from './lib/engine/EngineBatch.js';
export type {
  BatchEvent,
  EngineBatchSetup,
  EngineJob,
  EngineLoad,
} from './lib/engine/EngineBatch.js';
export { defaultEngineBatchOptions } from './lib/engine/EngineBatchOptions.js';
export type { EngineBatchOptions } from './lib/engine/EngineBatchOptions.js';
export { EngineRole, getLoadedName } from './lib/engine/EngineOrders.js';
export type {
  EngineOrder,
  EngineState,
  FencedOrder,
  OrderOutcome,
} from './lib/engine/EngineOrders.js';
export type { EngineRun } from './lib/engine/ChatExchange.js';
export { createEngineStandin, EngineStandin } from './lib/engine/EngineStandin.js';
export { defaultEngineStandinOptions } from './lib/engine/EngineStandinOptions.js';
export type {
  EngineStandinOptions,
  EngineStandinSetup,
} from './lib/engine/EngineStandinOptions.js';
export { DEFAULT_MAX_TOKENS, getExpectedAnswer } from './lib/engine/getExpectedAnswer.js';
export type { ChatMessage } from './lib/engine/getExpectedAnswer.js';
export { getPromptBlocks } from './lib/engine/getPromptBlocks.js';
export type { PromptBlocks } from './lib/engine/getPromptBlocks.js';
export { PrefixCache } from './lib/engine/PrefixCache.js';
export type { CacheChange } from './lib/engine/PrefixCache.js';
export { WeightStore } from './lib/engine/WeightStore.js';
export type { ListenAddress } from './lib/http/StandinServer.js';
export { ChangeSignal } from './lib/network/ChangeSignal.js';
export { getQuietPorts } from './lib/network/getQuietPorts.js';
export { RawCaller } from './lib/network/RawCaller.js';
export { LinkFault, TcpRelay } from './lib/network/TcpRelay.js';
export {
  createPlatformStandin,
  defaultPlatformStandinOptions,
  PlatformStandin,
} from './lib/platform/PlatformStandin.js';
export type {
  PlatformStandinOptions,
  PlatformStandinSetup,
} from './lib/platform/PlatformStandin.js';
export {
  createServiceStandin,
  defaultServiceStandinOptions,
  ServiceStandin,
} from './lib/service/ServiceStandin.js';
export type {
  ServiceRun,
  ServiceStandinOptions,
  ServiceStandinSetup,
} from './lib/service/ServiceStandin.js';
export { advance, createDelays, Link, settle } from './lib/process/Link.js';
export { PausableClock } from './lib/process/PausableClock.js';
