export { DutyManager } from './lib/DutyManager/DutyManager.js';
export type {
  DutyManagerSettings,
  DutySettings,
  DutyStatus,
} from './lib/DutyManager/DutyManager.js';
export type { DutyEvent, DutyLog } from './lib/DutyEvent.js';
export { defaultDutyOptions } from './lib/dutyOptions.js';
export { CallResult } from './lib/DutyPlatform.js';
export type { LeaseHolder, DutyPlatform, ReplicaOrder, UsageReport } from './lib/DutyPlatform.js';
export { FleetClock } from './lib/FleetClock/FleetClock.js';
export type { ScalableService } from './lib/scaling/ScalingDuty/ScalingDuty.js';
export type { ScalingLimits, ServiceDemand, ZoneSupply } from './lib/scaling/scalingTypes.js';
export { UsageCounter } from './lib/usage/UsageCounter/UsageCounter.js';
export { getWindow } from './lib/usage/SourceUsage.js';
export type { SourceUsage } from './lib/usage/SourceUsage.js';
