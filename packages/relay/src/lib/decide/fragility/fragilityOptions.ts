import type { Milliseconds } from '@apricotrill/utils';

/** Durations and bounds for replicas that fall over when they turn too many requests away. */
export const fragilityOptions = {
  /** Window in which a replica counts the requests that it turns away. */
  window: 1_000 satisfies Milliseconds,
  /**
   * Share of the threshold at which a replica gets nothing for the rest of the window, rounded up. Requests
   * that are on their way then may be turned away as well.
   */
  heldShare: 0.5,
  /** A statement that no response has confirmed for this long expires. */
  expiry: 10_000 satisfies Milliseconds,
  /** Minimum interval between announcements of an unchanged statement. */
  announcementPeriod: 1_000 satisfies Milliseconds,
  /** Waiting requests of all daemons, as a ratio of the slots of a service; excess ones are rejected. */
  waitingRatio: 2,
  /** Least share of its latency target that a request may wait for a slot. */
  minWaitShare: 0.5,
  /** Interval of the reviews of waiting requests that no event causes. */
  reviewInterval: 20 satisfies Milliseconds,
  /**
   * Time without any response of a placer after which its deputy may decide. It is longer than the time
   * without an attempt after which the first placer starts anew, should it go on.
   */
  takeoverDelay: 600 satisfies Milliseconds,
  /** An abandoned attempt takes a slot for this many times the measured latency, from its sending. */
  latencyReserve: 2,
  /** Age from which an attempt is certainly part of the load that its replica states. */
  reportDelay: 50 satisfies Milliseconds,
  /** Upper bound of that time, from its end; it applies as well where no latency was measured. */
  maxAbandonedTime: 2_000 satisfies Milliseconds,
  /** Statements per datagram that keep it below an MTU of 1,500 bytes. */
  maxPerDatagram: 24,
};
