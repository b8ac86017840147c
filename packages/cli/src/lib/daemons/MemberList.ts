import { z } from 'zod';

const memberSchema = z.object({
  id: z.string(),
  availabilityZone: z.string().default('-'),
  state: z.string(),
  /** In force there, as far as the daemon that was asked has heard. */
  generation: z.number(),
  /** Milliseconds since the epoch. */
  lastHeard: z.number().optional(),
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

/** States in which a daemon serves nobody any more. */
const GONE_STATES = new Set(['dead', 'left']);

/** The daemons that serve, the one that was asked among them. */
export function getLiveMembers({ self, generation, members }: MemberList): MemberView[] {
  const others = members.filter(({ id, state }) => id !== self && !GONE_STATES.has(state));
  const own = members.find(({ id }) => id === self);
  const first = { availabilityZone: '-', state: 'alive', ...own, id: self, generation };
  return [first, ...others];
}

/** The live daemons that do not have the generation in force yet. */
export function getBehind(list: MemberList, generation: number): MemberView[] {
  return getLiveMembers(list).filter((member) => member.generation < generation);
}
