import type { Clock } from '@apricotrill/utils';
import type { IncomingMessage } from 'node:http';
import { routerOptions } from '../options.js';

/**
 * Reads the rest of a refused request and throws it away, within bounds. A caller that is still
 * sending when the connection is cut sees a reset in place of its answer, so it is let finish; one
 * that goes on sending for long is cut off, or it would hold its connection for ever.
 *
 * @param request - a request that has been answered before it was read
 * @param clock - where time comes from
 * @example
 * ```ts
 * writeProblem(response, problem, requestId);
 * discardBody(request, clock);
 * ```
 * @internal
 */
export function discardBody(request: IncomingMessage, clock: Clock): void {
  if (request.complete || request.destroyed) {
    return;
  }
  let left: number = routerOptions.refusedBodyBytes;
  const cut = () => request.socket.destroy();
  const timer = clock.setTimer(routerOptions.refusedBodyTimeout, cut);
  request.on('data', (chunk: Buffer) => {
    left -= chunk.length;
    if (left < 0) {
      cut();
    }
  });
  request.once('close', () => timer.cancel());
  request.once('end', () => timer.cancel());
  request.resume();
}
