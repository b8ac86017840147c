export { ClassMatcher, getClass } from './lib/ClassMatcher/ClassMatcher.js';
export type {
  ClassCondition,
  RequestAttributes,
  RuleEvaluation,
} from './lib/ClassMatcher/ClassMatcher.js';
export { normalizePath } from './lib/ClassMatcher/normalizePath.js';
export { formatDiagnostic } from './lib/Diagnostic.js';
export type { Diagnostic } from './lib/Diagnostic.js';
export { parseConfiguration, parseRegister, parseRules } from './lib/parseConfiguration.js';
export type { ConfigurationText } from './lib/parseConfiguration.js';
export { isJsonc } from './lib/jsonc/isJsonc.js';
export { parseSettings } from './lib/parseSettings.js';
export { EngineRole, ServiceKind } from './lib/Register.js';
export type {
  ClassRule,
  Configuration,
  LatencyTarget,
  Register,
  Replica,
  Rules,
  Service,
  ServiceClass,
  Workspace,
} from './lib/Register.js';
export type { CallerLimits, Seed, Settings, TlsFiles } from './lib/Settings.js';
export { WorkspaceDirectory, getApiKeyHash } from './lib/WorkspaceDirectory/WorkspaceDirectory.js';
