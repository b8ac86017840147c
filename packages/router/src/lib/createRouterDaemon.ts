import type { Settings } from '@apricotrill/model';
import { SystemClock, createRandom, getHash } from '@apricotrill/utils';
import { RouterDaemon } from './daemon/RouterDaemon.js';
import type { SharedState } from './daemon/SharedState.js';
import { createDecisionLog } from './observe/DecisionLog.js';
import { SharedPlatform } from './shared/SharedPlatform.js';

/**
 * Creates a router daemon on the machine's clock, joined to the platform of its settings.
 *
 * @param settings - checked settings
 * @param lone - what a daemon that runs alone has in place of the platform
 * @example
 * ```ts
 * const daemon = createRouterDaemon(settings);
 * const { port } = await daemon.start();
 * ```
 * @public
 */
export function createRouterDaemon(settings: Settings, lone?: SharedState): RouterDaemon {
  const clock = new SystemClock();
  const random = createRandom(getHash(`${settings.id} ${clock.now()}`));
  const log = createDecisionLog(settings.id);
  const shared = lone ?? new SharedPlatform({ settings, clock, random, log });
  return new RouterDaemon({ settings, clock, random, shared, log });
}
