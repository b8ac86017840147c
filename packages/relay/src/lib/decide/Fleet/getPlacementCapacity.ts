/** The size of the instance that a daemon runs on. */
export interface InstanceSize {
  /** Processor cores that it may use, possibly less than one. */
  cores: number;
  /** Network bandwidth in megabits per second. */
  bandwidth: number;
}

/** What the placer of a full group of replicas needs, at 160 queries per second. */
export const placementCapacityOptions = {
  /** Processor cores: 0.2 ms for each query and the reports that follow it. */
  coresPerGroup: 0.032,
  /** Megabits per second: 900 bytes for each query, its response and those reports. */
  bandwidthPerGroup: 1.15,
  /** A daemon decides on one thread, however many cores its instance has. */
  maxCores: 1,
};

/**
 * Returns for how many full groups of replicas a daemon could be the placer if it did nothing else. The
 * scarcest resource of its instance decides.
 *
 * @example
 * ```ts
 * getPlacementCapacity({ cores: 0.32, bandwidth: 100 }); // 10
 * ```
 */
export function getPlacementCapacity({ cores, bandwidth }: InstanceSize): number {
  const { coresPerGroup, bandwidthPerGroup, maxCores } = placementCapacityOptions;
  const groups = Math.min(Math.min(cores, maxCores) / coresPerGroup, bandwidth / bandwidthPerGroup);
  // Rounded, since it is sent to all daemons.
  return Math.max(1, Math.round(groups * 10)) / 10;
}
