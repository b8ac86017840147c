import type { AcceptedChange } from '@apricotrill/configuration';
import type { Milliseconds } from '@apricotrill/utils';

/** Formats a point in time as ISO 8601, in UTC. */
export function formatTime(time: Milliseconds): string {
  return new Date(time).toISOString();
}

/** Describes an accepted change within a sentence. */
export function formatChange(change: AcceptedChange): string {
  const { generation, changeId, author, acceptedAt } = change;
  return `generation ${generation} (change ${changeId} by ${author}, ${formatTime(acceptedAt)})`;
}
