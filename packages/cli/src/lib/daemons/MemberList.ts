import { z } from 'zod';

const memberSchema = z.object({
  id: z.string(),
  availabilityZone: z.string().default('-'),
  state: z.string(),
  /** In force there, as far as the daemon that was asked has heard. */
  generation: z.number(),
  /** Since when it has been in this state, in milliseconds since the epoch. */
  since: z.number().optional(),
  /** Where to ask it itself. */
  adminAddress: z.string().optional(),
  /** False while its region cannot be reached from the daemon that was asked. */
  isReachable: z.boolean().optional(),
  /** True while it goes and comes back too often to be given duties. */
  isDamped: z.boolean().optional(),
});

/** The answer of a daemon's `GET /admin/members`. */
export const memberListSchema = z.object({
  self: z.string(),
  generation: z.number(),
  members: z.array(memberSchema),
});

/** A daemon as the daemon that was asked sees it. */
export type MemberView = z.output<typeof memberSchema>;

/** What one daemon knows of all. */
export type MemberList = z.output<typeof memberListSchema>;

/** The state in which a daemon serves nobody any more; one that is leaving still does. */
const GONE_STATE = 'dead';

/** The daemons that serve, the one that was asked among them. */
export function getLiveMembers({ self, generation, members }: MemberList): MemberView[] {
  const others = members.filter(({ id, state }) => id !== self && state !== GONE_STATE);
  const own = members.find(({ id }) => id === self);
  const first = { availabilityZone: '-', state: 'alive', ...own, id: self, generation };
  return [first, ...others];
}

/** The live daemons that do not have the generation in force yet. */
export function getBehind(list: MemberList, generation: number): MemberView[] {
  return getLiveMembers(list).filter((member) => member.generation < generation);
}

/** A daemon's state in words, with what keeps it from duties. */
export function getStateText({ state, isReachable, isDamped }: MemberView): string {
  const notes = [isReachable === false ? 'unreachable' : [], isDamped ? 'damped' : []].flat();
  return [state, ...notes].join(', ');
}
