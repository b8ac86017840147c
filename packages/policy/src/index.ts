export type { Baseline } from './lib/baselines/Baseline.js';
export {
  createFifoBaseline,
  createLeastOutstandingBaseline,
  createStrictPriorityBaseline,
} from './lib/baselines/createBaselines.js';
export { AttemptStatus, CancelReason, GiveUpReason, ExecutionOutcome } from './lib/messages.js';
export type {
  LoadReport,
  ScheduledRequest,
  SchedulerEffect,
  SchedulerMessage,
} from './lib/messages.js';
export { defaultPolicyOptions } from './lib/policyOptions.js';
export type { PolicyOptions } from './lib/policyOptions.js';
export { Scheduler } from './lib/Scheduler/Scheduler.js';
export type { SchedulerSettings, SchedulerSnapshot } from './lib/Scheduler/Scheduler.js';
export type { ReplicaSnapshot, ServiceSnapshot } from './lib/Scheduler/getServiceSnapshot.js';
