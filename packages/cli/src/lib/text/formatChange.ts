import type { AcceptedChange } from '@apricotrill/configuration';
import type { Milliseconds } from '@apricotrill/utils';

/** A point in time for people, in UTC. */
export function formatTime(time: Milliseconds): string {
  return new Date(time).toISOString();
}

/** Names an accepted change in a sentence. */
export function formatChange(change: AcceptedChange): string {
  const { generation, changeId, author, acceptedAt } = change;
  return `generation ${generation} (change ${changeId} by ${author}, ${formatTime(acceptedAt)})`;
}
