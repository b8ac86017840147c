export { getLeaseCandidates } from './lib/getLeaseCandidates.js';
export { getLeaseRank } from './lib/getLeaseRank.js';
export { getGrantedFencingNumber, parseLeaseRecord } from './lib/Lease/LeaseRecord.js';
export type { LeaseRecord } from './lib/Lease/LeaseRecord.js';
export { LeaseManager } from './lib/LeaseManager/LeaseManager.js';
export type { LeaseListener, LeaseSettings, LeaseStore } from './lib/LeaseManager/LeaseManager.js';
export { defaultLeaseOptions } from './lib/leaseOptions.js';
export type { LeaseOptions } from './lib/leaseOptions.js';
