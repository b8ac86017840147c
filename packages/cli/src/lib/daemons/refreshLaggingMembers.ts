import type { Milliseconds } from '@apricotrill/utils';
import type { OperatorContext } from '../OperatorContext.js';
import type { MembersAnswer } from './fetchMembersFromAny.js';
import { DaemonUnavailableError } from './DaemonUnavailableError.js';
import { getLaggingMembers } from './MemberList.js';
import type { MemberView } from './MemberList.js';

const MAX_CONCURRENT_CALLS = 64;

type FetchMembers = OperatorContext['fetchMembers'];

/** Returns a member with the generation it reports itself, or unchanged if it does not answer. */
async function refreshMember(
  fetchMembers: FetchMembers,
  member: MemberView,
  timeout: Milliseconds,
): Promise<MemberView> {
  if (member.adminAddress === undefined) {
    return member;
  }
  try {
    const { self, generation } = await fetchMembers(member.adminAddress, timeout);
    return self === member.id ? { ...member, generation } : member;
  } catch (error) {
    if (error instanceof DaemonUnavailableError) {
      return member;
    }
    throw error;
  }
}

/**
 * Queries the daemons that appear to lag behind a generation. A daemon hears from its neighbours
 * every second but from other daemons only occasionally, so in a large fleet its member list alone
 * would show a change as incomplete for minutes after it is in force everywhere.
 *
 * @param generation - daemons at which it is not known to be in force are queried
 */
export async function refreshLaggingMembers(
  { fetchMembers }: Pick<OperatorContext, 'fetchMembers'>,
  { address, list }: MembersAnswer,
  generation: number,
  timeout: Milliseconds,
): Promise<MembersAnswer> {
  const lagging = getLaggingMembers(list, generation).filter(({ id }) => id !== list.self);
  const refreshed = new Map<string, MemberView>();
  for (let start = 0; start < lagging.length; start += MAX_CONCURRENT_CALLS) {
    const batch = lagging.slice(start, start + MAX_CONCURRENT_CALLS);
    // eslint-disable-next-line no-await-in-loop -- limits the number of concurrent calls
    const results = await Promise.all(
      batch.map((one) => refreshMember(fetchMembers, one, timeout)),
    );
    results.forEach((member) => refreshed.set(member.id, member));
  }
  const members = list.members.map((member) => refreshed.get(member.id) ?? member);
  return { address, list: { ...list, members } };
}
