import type { Replica } from '@apricotrill/model';
import { Client } from 'undici';
import { defaultRouterOptions } from '../options.js';

/**
 * Asks a replica whether its process still runs, on a connection of its own: kept connections may have
 * gone silent, and those of a process that ended are closed one after another.
 *
 * @param replica - the replica to ask
 * @returns whether it answered in time, whatever it said; never rejects
 * @example
 * ```ts
 * const isAlive = await isReplicaAlive(replica);
 * ```
 * @internal
 */
export async function isReplicaAlive({ host, port }: Replica): Promise<boolean> {
  const { connectTimeout, livenessTimeout } = defaultRouterOptions;
  const client = new Client(`http://${host}:${port}`, { connect: { timeout: connectTimeout } });
  try {
    const signal = AbortSignal.timeout(livenessTimeout);
    const { body } = await client.request({ method: 'GET', path: '/load', signal });
    await body.dump();
    return true;
  } catch {
    return false;
  } finally {
    client.destroy().catch(() => undefined);
  }
}
