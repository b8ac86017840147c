import type { SharedAttempt } from '../messages.js';
import type { RunningAttempt } from '../RequestRecord.js';
import { createSharedAttempt } from './PeerAttempts.js';

/**
 * Returns the attempts that a daemon has in flight, by the peer that is notified of them. The key undefined
 * stands for all peers without an entry of their own.
 */
export function getSharedAttempts(
  attempts: readonly RunningAttempt[],
  self: string,
): Map<string | undefined, SharedAttempt[]> {
  const shared = new Map<string | undefined, SharedAttempt[]>();
  attempts
    .flatMap((running) => [running.placer, ...running.observers].map((to) => ({ running, to })))
    .filter(({ to }) => to !== self)
    .forEach(({ running, to }) => {
      shared.set(to, [...(shared.get(to) ?? []), createSharedAttempt(running)]);
    });
  const common = shared.get(undefined) ?? [];
  return new Map(
    [...shared].map(([placer, own]) => [placer, placer === undefined ? own : [...common, ...own]]),
  );
}
