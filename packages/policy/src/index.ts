export { AttemptEnd, CancelReason, GiveUpReason, Outcome } from './lib/messages.js';
export type {
  LoadReport,
  ScheduledRequest,
  SchedulerEffect,
  SchedulerMessage,
} from './lib/messages.js';
