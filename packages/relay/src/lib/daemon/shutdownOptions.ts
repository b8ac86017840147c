import type { Milliseconds } from '@apricotrill/utils';

/** How a daemon that was told to stop ends. */
export const shutdownOptions = {
  /**
   * New connections are taken for this long: the balancer asks once a second and sends none after
   * two answers that say no.
   */
  listenOn: 3_000 satisfies Milliseconds,
  /** Left of the grace when it exits, whatever is still under way. */
  reserve: 300 satisfies Milliseconds,
  /** How long it waits for its own connections to be gone, out of the reserve. */
  dispose: 100 satisfies Milliseconds,
  /** How often it looks whether everything is answered. */
  look: 50 satisfies Milliseconds,
};
