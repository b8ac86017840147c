export type { Baseline } from './lib/baselines/Baseline.js';
export {
  createFirstInFirstOut,
  createLeastOutstanding,
  createStrictPriority,
} from './lib/baselines/createBaselines.js';
export { AttemptEnd, CancelReason, GiveUpReason, Outcome } from './lib/messages.js';
export type {
  LoadReport,
  ScheduledRequest,
  SchedulerEffect,
  SchedulerMessage,
} from './lib/messages.js';
export { defaultPolicyOptions } from './lib/policyOptions.js';
export type { PolicyOptions } from './lib/policyOptions.js';
export { Scheduler } from './lib/Scheduler/Scheduler.js';
export type { SchedulerParts, SchedulerSnapshot } from './lib/Scheduler/Scheduler.js';
export type { ReplicaSnapshot, ServiceSnapshot } from './lib/Scheduler/getServiceSnapshot.js';
