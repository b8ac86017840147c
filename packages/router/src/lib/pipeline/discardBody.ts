import type { Clock } from '@apricotrill/utils';
import type { IncomingMessage } from 'node:http';
import { defaultRouterOptions } from '../options.js';

/**
 * Reads and discards the rest of a rejected request, within limits. A caller that is still sending
 * when the connection is closed sees a connection reset instead of the response, so it may finish
 * sending. Beyond the limits the connection is closed, or the caller could keep it open forever.
 *
 * @param request - a request that was answered before its body was read
 * @param clock - the time source
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
  let remainingBytes: number = defaultRouterOptions.maxRefusedBodyBytes;
  const destroySocket = () => request.socket.destroy();
  const timer = clock.setTimer(defaultRouterOptions.refusedBodyTimeout, destroySocket);
  request.on('data', (chunk: Buffer) => {
    remainingBytes -= chunk.length;
    if (remainingBytes < 0) {
      destroySocket();
    }
  });
  request.once('close', () => timer.cancel());
  request.once('end', () => timer.cancel());
  request.resume();
}
