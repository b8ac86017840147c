import type { Rumour, ServiceLoad } from '../messages.js';

/** What the numbers and the framing of each kind take when encoded, rounded up. */
const MEMBER_BYTES = 40;
const VERDICT_BYTES = 20;
const NOTICE_BYTES = 12;
const REPORT_BYTES = 16;
const SERVICE_BYTES = 16;

function getServiceBytes(services: readonly ServiceLoad[]): number {
  return services.reduce((sum, { service }) => sum + SERVICE_BYTES + service.length, 0);
}

/** How many bytes a rumour takes in a message: an upper estimate, so that bounds hold. */
export function getRumourBytes(rumour: Rumour): number {
  switch (rumour.kind) {
    case 'member': {
      const { id, region, availabilityZone, host } = rumour.record;
      return MEMBER_BYTES + id.length + region.length + availabilityZone.length + host.length;
    }
    case 'verdict':
      return VERDICT_BYTES + rumour.verdict.id.length;
    case 'replica-leaving':
      return NOTICE_BYTES + rumour.notice.replica.length;
    case 'zone-load':
    default: {
      const { availabilityZone, services } = rumour.report;
      return REPORT_BYTES + availabilityZone.length + getServiceBytes(services);
    }
  }
}
