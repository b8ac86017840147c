import type { Milliseconds } from '@apricotrill/utils';

/** What control state of full size came to in one process. */
export interface FullSizeReading {
  bareMegabytes: number;
  loadedMegabytes: number;
  /** After a minute of steady control. */
  steadyMegabytes: number;
  heapMegabytes: number;
  loadTime: Milliseconds;
  /** Part of a core. */
  steadyCore: number;
  /** What was loaded, in words. */
  loaded: string;
}
