import { KeyFiles } from '@apricotrill/keys';
import type { KeyEvent } from '@apricotrill/keys';
import type { Settings } from '@apricotrill/model';
import { SystemClock, createRandom, getHash } from '@apricotrill/utils';
import type { Clock } from '@apricotrill/utils';
import { RouterDaemon } from './daemon/RouterDaemon.js';
import type { SharedState } from './daemon/SharedState.js';
import { createDecisionLog } from './observe/DecisionLog.js';
import type { DecisionLog } from './observe/DecisionLog.js';
import { SharedPlatform } from './shared/SharedPlatform.js';

/**
 * Options of {@link createRouterDaemon}.
 *
 * @public
 */
export interface RouterDaemonOptions {
  /** Used instead of the platform, for a standalone daemon. */
  sharedState?: SharedState;
  /** The port at which peers reach the mesh, if it differs because of port translation. */
  announcedMeshPort?: number;
}

function createKeyFiles({ tls }: Settings, clock: Clock, log: DecisionLog): KeyFiles | undefined {
  const onEvent = (event: KeyEvent) => log('daemon', event);
  return tls && new KeyFiles({ files: tls, clock, onEvent });
}

/**
 * Creates a router daemon that uses the system clock and the platform named in its settings.
 *
 * @param settings - validated settings
 * @example
 * ```ts
 * const daemon = createRouterDaemon(settings);
 * const { port } = await daemon.start();
 * ```
 * @public
 */
export function createRouterDaemon(
  settings: Settings,
  { sharedState, announcedMeshPort }: RouterDaemonOptions = {},
): RouterDaemon {
  const clock = new SystemClock();
  const random = createRandom(getHash(`${settings.id} ${clock.now()}`));
  const log = createDecisionLog(settings.id);
  const keys = createKeyFiles(settings, clock, log);
  const dependencies = { settings, clock, random, log, keys };
  const shared = sharedState ?? new SharedPlatform({ ...dependencies, announcedMeshPort });
  return new RouterDaemon({ ...dependencies, shared });
}
