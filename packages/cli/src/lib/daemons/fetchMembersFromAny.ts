import type { Milliseconds } from '@apricotrill/utils';
import type { OperatorContext } from '../OperatorContext.js';
import { DaemonUnavailableError } from './DaemonUnavailableError.js';
import type { MemberList } from './MemberList.js';

/** An answer and who gave it. */
export interface AskedMembers {
  address: string;
  list: MemberList;
}

/**
 * Asks the daemons in turn until one answers: any of them knows all.
 *
 * @throws DaemonUnavailableError when none answers
 */
export async function askAnyDaemon(
  { askMembers }: Pick<OperatorContext, 'askMembers'>,
  addresses: readonly string[],
  timeout: Milliseconds,
): Promise<AskedMembers> {
  const reasons: string[] = [];
  for (const address of addresses) {
    try {
      // eslint-disable-next-line no-await-in-loop -- the next is asked only if this one fails
      return { address, list: await askMembers(address, timeout) };
    } catch (error) {
      if (!(error instanceof DaemonUnavailableError)) {
        throw error;
      }
      reasons.push(error.message);
    }
  }
  const message = reasons.length === 0 ? 'no daemon was named; use --daemon' : reasons.join('; ');
  throw new DaemonUnavailableError(message, { step: 'ask any daemon', peer: addresses.join(', ') });
}
