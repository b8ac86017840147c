export { CertificateAuthority } from './lib/authority/CertificateAuthority.js';
export type { IssuedCertificate } from './lib/authority/CertificateAuthority.js';
export { BackendFaultInjector } from './lib/backend/BackendFaultInjector.js';
export type { BackendFault } from './lib/backend/BackendFaultInjector.js';
export type { CacheEvent } from './lib/engine/CacheEventLog.js';
export { EngineBatch } from './lib/engine/EngineBatch.js';
export type {
  BatchEvent,
  EngineBatchSettings,
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
  EngineStandinSettings,
} from './lib/engine/EngineStandinOptions.js';
export { DEFAULT_MAX_TOKENS, getExpectedTokens } from './lib/engine/getExpectedTokens.js';
export type { ChatMessage } from './lib/engine/getExpectedTokens.js';
export { getPromptBlocks } from './lib/engine/getPromptBlocks.js';
export type { PromptBlocks } from './lib/engine/getPromptBlocks.js';
export { PrefixCache } from './lib/engine/PrefixCache.js';
export type { CacheChange } from './lib/engine/PrefixCache.js';
export { WeightStore } from './lib/engine/WeightStore.js';
export type { ListenAddress } from './lib/http/StandinServer.js';
export { ChangeSignal } from './lib/network/ChangeSignal.js';
export { reservePorts } from './lib/network/reservePorts.js';
export { RawCaller } from './lib/network/RawCaller.js';
export { LinkFault, TcpProxy } from './lib/network/TcpProxy.js';
export {
  createPlatformStandin,
  defaultPlatformStandinOptions,
  PlatformStandin,
} from './lib/platform/PlatformStandin.js';
export type {
  PlatformStandinOptions,
  PlatformStandinSettings,
} from './lib/platform/PlatformStandin.js';
export {
  createServiceStandin,
  defaultServiceStandinOptions,
  ServiceStandin,
} from './lib/service/ServiceStandin.js';
export type {
  ServiceRun,
  ServiceStandinOptions,
  ServiceStandinSettings,
} from './lib/service/ServiceStandin.js';
export {
  advanceClock,
  createDelayGenerator,
  SimulatedLink,
  flushTasks,
} from './lib/process/SimulatedLink.js';
export { PausableClock } from './lib/process/PausableClock.js';
