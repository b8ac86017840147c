import { z } from 'zod';

const memberSchema = z.object({
  id: z.string(),
  availabilityZone: z.string().default('-'),
  state: z.string(),
  /** The generation in force at this daemon, as last heard by the daemon that was queried. */
  generation: z.number(),
  /** When the daemon entered this state, in milliseconds since the epoch. */
  since: z.number().optional(),
  /** Where the daemon itself can be queried. */
  adminAddress: z.string().optional(),
  /** False while its region cannot be reached from the daemon that was queried. */
  isReachable: z.boolean().optional(),
  /** True while it leaves and rejoins too often to be given duties. */
  isDamped: z.boolean().optional(),
});

/** The response of a daemon to `GET /admin/members`. */
export const memberListSchema = z.object({
  self: z.string(),
  generation: z.number(),
  members: z.array(memberSchema),
});

/** A daemon as seen by the daemon that was queried. */
export type MemberView = z.output<typeof memberSchema>;

/** All daemons as seen by one of them. */
export type MemberList = z.output<typeof memberListSchema>;

/** The state of a daemon that no longer serves; one that is leaving still does. */
const DEAD_STATE = 'dead';

/** Returns the daemons that serve, including the one that was queried. */
export function getLiveMembers({ self, generation, members }: MemberList): MemberView[] {
  const others = members.filter(({ id, state }) => id !== self && state !== DEAD_STATE);
  const own = members.find(({ id }) => id === self);
  const first = { availabilityZone: '-', state: 'alive', ...own, id: self, generation };
  return [first, ...others];
}

/** Returns the live daemons at which the generation is not in force yet. */
export function getLaggingMembers(list: MemberList, generation: number): MemberView[] {
  return getLiveMembers(list).filter((member) => member.generation < generation);
}

/** Formats a daemon's state, with the conditions that keep it from being given duties. */
export function formatState({ state, isReachable, isDamped }: MemberView): string {
  const notes = [isReachable === false ? 'unreachable' : [], isDamped ? 'damped' : []].flat();
  return [state, ...notes].join(', ');
}
