import type { PortHolder } from '@apricotrill/lifecycle';
import type { Milliseconds } from '@apricotrill/utils';
import { HttpClient, parseJson } from '../http/HttpClient.js';
import { DAEMON_HEADER, RELEASE_PATH, holderSchema } from './handoverProtocol.js';

/** The holder answers at once, or is no daemon. */
const TIMEOUT: Milliseconds = 500;

/**
 * Asks the process that holds the ports of this daemon to release them.
 *
 * @param daemon - ID of this daemon
 * @param address - IP address and port for daemons
 * @returns that process; undefined if it is not a daemon, or does not respond
 * @example
 * ```ts
 * await requestPorts('edge-1', '10.1.0.19:7201'); // { description: 'edge-1, pid 4711, shutting down', isReleasing: true }
 * ```
 */
export async function requestPorts(
  daemon: string,
  address: string,
): Promise<PortHolder | undefined> {
  const client = new HttpClient();
  const step = 'ask for ports';
  try {
    const { text } = await client.send({
      step,
      method: 'POST',
      address,
      path: RELEASE_PATH,
      headers: { [DAEMON_HEADER]: daemon },
      timeout: TIMEOUT,
    });
    const holder = holderSchema.parse(parseJson(text, step, address));
    const { isReleasing, pid } = holder;
    if (pid === process.pid) {
      // This process has opened the port for daemons itself; another program holds another port.
      return undefined;
    }
    const state = isReleasing ? 'shutting down' : 'running';
    return { description: `${holder.daemon}, pid ${pid}, ${state}`, isReleasing };
  } catch {
    // The port for daemons is free, or held by another program; the caller logs the port itself.
    return undefined;
  } finally {
    await client.dispose();
  }
}
