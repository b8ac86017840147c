import type { Rumour, ServiceLoad } from '../messages.js';

/** Encoded size of the numbers and framing of each kind of rumour, rounded up. */
const MEMBER_OVERHEAD_BYTES = 40;
const STATE_UPDATE_OVERHEAD_BYTES = 20;
const NOTICE_OVERHEAD_BYTES = 12;
const REPORT_OVERHEAD_BYTES = 16;
const SERVICE_OVERHEAD_BYTES = 16;

function estimateServiceBytes(services: readonly ServiceLoad[]): number {
  return services.reduce((sum, { service }) => sum + SERVICE_OVERHEAD_BYTES + service.length, 0);
}

/** Estimates a rumour's encoded size from above, so that size limits hold. */
export function estimateRumourBytes(rumour: Rumour): number {
  switch (rumour.kind) {
    case 'member': {
      const { id, region, availabilityZone, host } = rumour.record;
      return (
        MEMBER_OVERHEAD_BYTES + id.length + region.length + availabilityZone.length + host.length
      );
    }
    case 'member-state':
      return STATE_UPDATE_OVERHEAD_BYTES + rumour.update.id.length;
    case 'replica-leaving':
      return NOTICE_OVERHEAD_BYTES + rumour.notice.replica.length;
    case 'zone-load':
    default: {
      const { availabilityZone, services } = rumour.report;
      return REPORT_OVERHEAD_BYTES + availabilityZone.length + estimateServiceBytes(services);
    }
  }
}
