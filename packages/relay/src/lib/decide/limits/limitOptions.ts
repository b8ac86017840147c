import type { Milliseconds } from '@apricotrill/utils';

/** Durations and bounds for enforcing the rate limits stated by replicas. */
export const limitOptions = {
  /** Bucket capacity in seconds of the limit; the bucket holds at least one token. */
  burstSeconds: 0.5,
  /** A limit that no response has confirmed for this long is probed with a request. */
  confirmationTimeout: 10_000 satisfies Milliseconds,
  /** Upper bound of the additional delay per daemon, so that daemons do not probe simultaneously. */
  probeJitter: 10_000 satisfies Milliseconds,
  /** Minimum interval between announcements of an unchanged limit. */
  announcementPeriod: 1_000 satisfies Milliseconds,
  /** How long a lifted limit is remembered, so that outdated messages do not restore it. */
  liftedRetention: 30_000 satisfies Milliseconds,
  /** Approximate maximum wait for limited replicas; excess requests are rejected. */
  maxWait: 1_000 satisfies Milliseconds,
  /** Interval between attempts to place requests that wait for limited replicas. */
  retryPeriod: 100 satisfies Milliseconds,
  /** Limits per datagram that keep it below an MTU of 1,500 bytes. */
  maxPerDatagram: 24,
};
