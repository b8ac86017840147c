import type { Milliseconds } from '@apricotrill/utils';

/** Durations and bounds for replicas that fall over when they turn too many requests away. */
export const fragilityOptions = {
  /** Window in which a replica counts the requests that it turns away. */
  window: 1_000 satisfies Milliseconds,
  /**
   * Share of the threshold at which a replica gets nothing for the rest of the window. Requests that are
   * on their way then may be turned away as well.
   */
  heldShare: 0.5,
  /** A statement that no response has confirmed for this long expires. */
  expiry: 10_000 satisfies Milliseconds,
  /** Minimum interval between announcements of an unchanged statement. */
  announcementPeriod: 1_000 satisfies Milliseconds,
  /** Waiting requests of all daemons, as a ratio of the slots of a service; excess ones are rejected. */
  waitingRatio: 2,
  /**
   * Time for which a slot is kept for a daemon that got none; a little longer than daemons wait until
   * they ask again.
   */
  claimSpan: 150 satisfies Milliseconds,
  /** Statements per datagram that keep it below an MTU of 1,500 bytes. */
  maxPerDatagram: 24,
};
