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
 * What differs from a daemon's usual surroundings.
 *
 * @public
 */
export interface RouterDaemonOptions {
  /** What a daemon that runs alone has in place of the platform. */
  lone?: SharedState;
  /** Where the others reach its mesh, when something in between translates ports. */
  announcedMeshPort?: number;
}

function createKeyFiles({ tls }: Settings, clock: Clock, log: DecisionLog): KeyFiles | undefined {
  const onDecision = (decision: KeyEvent) => log('daemon', decision);
  return tls && new KeyFiles({ files: tls, clock, onEvent: onDecision });
}

/**
 * Creates a router daemon on the machine's clock, joined to the platform of its settings.
 *
 * @param settings - checked settings
 * @example
 * ```ts
 * const daemon = createRouterDaemon(settings);
 * const { port } = await daemon.start();
 * ```
 * @public
 */
export function createRouterDaemon(
  settings: Settings,
  { lone, announcedMeshPort }: RouterDaemonOptions = {},
): RouterDaemon {
  const clock = new SystemClock();
  const random = createRandom(getHash(`${settings.id} ${clock.now()}`));
  const log = createDecisionLog(settings.id);
  const keys = createKeyFiles(settings, clock, log);
  const parts = { settings, clock, random, log, keys };
  const shared = lone ?? new SharedPlatform({ ...parts, announcedMeshPort });
  return new RouterDaemon({ ...parts, shared });
}
