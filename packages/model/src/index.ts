export { ServiceKind } from './lib/Register.js';
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
