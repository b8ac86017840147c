import type { Member } from '@apricotrill/cluster';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * A daemon as operators see it.
 *
 * @internal
 */
export interface MemberView {
  id: string;
  region: string;
  availabilityZone: string;
  state: string;
  /** Since when it has been in this state, in milliseconds since the epoch. */
  since: Milliseconds;
  /** In force there, as far as has been heard here. */
  generation: number;
  /** Where to ask the daemon itself, as `host:port`. */
  adminAddress: string;
  /** False while its region cannot be reached from here. */
  isReachable: boolean;
  /** True while it goes and comes back too often to be given duties. */
  isDamped: boolean;
}

/**
 * The answer of `GET /admin/members`.
 *
 * @internal
 */
export interface MemberList {
  self: string;
  generation: number;
  members: MemberView[];
}

/**
 * What operators are shown of a member.
 *
 * @internal
 */
export function getMemberView(member: Member): MemberView {
  const { id, region, availabilityZone, state, generation, isReachable, isDamped } = member;
  return {
    id,
    region,
    availabilityZone,
    state,
    since: Math.round(member.stateSince),
    generation,
    adminAddress: `${member.host}:${member.adminPort}`,
    isReachable,
    isDamped,
  };
}
