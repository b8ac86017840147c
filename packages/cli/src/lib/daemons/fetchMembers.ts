import type { Milliseconds } from '@apricotrill/utils';
import { Agent, request } from 'undici';
import { DaemonUnavailableError } from './DaemonUnavailableError.js';
import { memberListSchema } from './MemberList.js';
import type { MemberList } from './MemberList.js';

const OK = 200;
const STEP = 'ask members';

async function readMembers(address: string, agent: Agent, timeout: Milliseconds) {
  const signal = AbortSignal.timeout(timeout);
  const answer = await request(`http://${address}/admin/members`, { dispatcher: agent, signal });
  if (answer.statusCode !== OK) {
    throw new Error(`answered ${answer.statusCode}`);
  }
  return memberListSchema.parse(await answer.body.json());
}

/**
 * Fetches the member list of one daemon.
 *
 * @param address - its admin address, as `host:port`
 * @throws DaemonUnavailableError
 */
export async function fetchMembers(address: string, timeout: Milliseconds): Promise<MemberList> {
  const agent = new Agent({ connect: { timeout } });
  try {
    return await readMembers(address, agent, timeout);
  } catch (cause) {
    const { message } = cause as Error;
    throw new DaemonUnavailableError(message, { step: STEP, peer: address, cause });
  } finally {
    await agent.destroy();
  }
}
