import type { Milliseconds } from '@apricotrill/utils';
import type { OperatorContext } from '../OperatorContext.js';
import { DaemonUnavailableError } from './DaemonUnavailableError.js';
import type { MemberList } from './MemberList.js';

/** A member list and the address of the daemon that returned it. */
export interface MembersAnswer {
  address: string;
  list: MemberList;
}

/**
 * Queries the daemons in turn until one answers. Each of them knows all members.
 *
 * @throws DaemonUnavailableError when none answers
 */
export async function fetchMembersFromAny(
  { fetchMembers }: Pick<OperatorContext, 'fetchMembers'>,
  addresses: readonly string[],
  timeout: Milliseconds,
): Promise<MembersAnswer> {
  const reasons: string[] = [];
  for (const address of addresses) {
    try {
      // eslint-disable-next-line no-await-in-loop -- the next is queried only if this one fails
      return { address, list: await fetchMembers(address, timeout) };
    } catch (error) {
      if (!(error instanceof DaemonUnavailableError)) {
        throw error;
      }
      reasons.push(error.message);
    }
  }
  const message = reasons.length === 0 ? 'no daemon given; use --daemon' : reasons.join('; ');
  throw new DaemonUnavailableError(message, { step: 'ask any daemon', peer: addresses.join(', ') });
}
