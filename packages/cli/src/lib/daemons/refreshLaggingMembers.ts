import type { Milliseconds } from '@apricotrill/utils';
import type { OperatorContext } from '../OperatorContext.js';
import type { AskedMembers } from './fetchMembersFromAny.js';
import { DaemonUnavailableError } from './DaemonUnavailableError.js';
import { getBehind } from './MemberList.js';
import type { MemberView } from './MemberList.js';

/** How many daemons are asked at once. */
const CONCURRENCY = 64;

type AskMembers = OperatorContext['askMembers'];

/** What a daemon says of itself; what others say of it when it gives no answer. */
async function askItself(
  askMembers: AskMembers,
  member: MemberView,
  timeout: Milliseconds,
): Promise<MemberView> {
  if (member.adminAddress === undefined) {
    return member;
  }
  try {
    const { self, generation } = await askMembers(member.adminAddress, timeout);
    return self === member.id ? { ...member, generation } : member;
  } catch (error) {
    if (error instanceof DaemonUnavailableError) {
      return member;
    }
    throw error;
  }
}

/**
 * Asks the daemons that seem to be behind for their own word. A daemon hears from its neighbours
 * each second and from others now and then: by its word alone, a change that is in force everywhere
 * would look unfinished for minutes in a large fleet.
 *
 * @param generation - daemons not known to have it in force are asked
 */
export async function askBehind(
  { askMembers }: Pick<OperatorContext, 'askMembers'>,
  { address, list }: AskedMembers,
  generation: number,
  timeout: Milliseconds,
): Promise<AskedMembers> {
  const behind = getBehind(list, generation).filter(({ id }) => id !== list.self);
  const told = new Map<string, MemberView>();
  for (let start = 0; start < behind.length; start += CONCURRENCY) {
    const some = behind.slice(start, start + CONCURRENCY);
    // eslint-disable-next-line no-await-in-loop -- so many at once and no more
    const answers = await Promise.all(some.map((one) => askItself(askMembers, one, timeout)));
    answers.forEach((answer) => told.set(answer.id, answer));
  }
  const members = list.members.map((member) => told.get(member.id) ?? member);
  return { address, list: { ...list, members } };
}
