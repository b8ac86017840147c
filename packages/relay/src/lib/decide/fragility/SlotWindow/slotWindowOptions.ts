import type { Milliseconds } from '@apricotrill/utils';

/** Durations of the bound on attempts at a fragile replica. */
export const slotWindowOptions = {
  /** Time without an attempt after which another daemon may have filled the slots. */
  idleSpan: 500 satisfies Milliseconds,
  /** Requests that are turned away within this time were on their way together. */
  burstSpan: 100 satisfies Milliseconds,
  /**
   * Time after a rejection in which the number at which it came is not tried again. It doubles with each
   * rejection. A replica counts rejections over one second.
   */
  minRaiseInterval: 1_000 satisfies Milliseconds,
  /** Upper bound of that time. */
  maxRaiseInterval: 8_000 satisfies Milliseconds,
};
