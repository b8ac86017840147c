import type { Member } from '@apricotrill/cluster';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * A daemon as shown to operators.
 *
 * @internal
 */
export interface MemberView {
  id: string;
  region: string;
  availabilityZone: string;
  state: string;
  /** When it entered this state, in milliseconds since the epoch. */
  since: Milliseconds;
  /** The generation in force at that daemon, as far as this daemon knows. */
  generation: number;
  /** The address of its admin port, as `host:port`. */
  adminAddress: string;
  /** False while its region cannot be reached from here. */
  isReachable: boolean;
  /** True while it leaves and returns too often to be given duties. */
  isDamped: boolean;
}

/**
 * The response of `GET /admin/members`.
 *
 * @internal
 */
export interface MemberList {
  self: string;
  generation: number;
  members: MemberView[];
}

/**
 * Returns the fields of a member that are shown to operators.
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
