/**
 * Estimates how much of the heap is in use, without its garbage: what a collection has left, and what was held
 * and released since. Requests take more than is counted for them, so that what was in use beyond the count is
 * released along with it.
 *
 * @example
 * ```ts
 * const estimate = new HeapEstimate();
 * estimate.recordCollection(20_000_000, 0);
 * estimate.recordCollection(50_000_000, 10_000_000);
 * estimate.get(15_000_000); // 55_000_000
 * estimate.get(5_000_000); // 35_000_000
 * ```
 */
export class HeapEstimate {
  /** Least bytes that were counted as held at a collection. */
  private leastHeldBytes = Number.POSITIVE_INFINITY;

  /** What was in use beyond the count at the last collection at which so little was held. */
  private idleBytes = 0;

  /** What was in use beyond the count at the last collection. */
  private uncountedBytes = 0;

  /** What was counted as held at the last collection. */
  private collectedHeldBytes = 0;

  /**
   * Records what a collection of the whole heap has left.
   *
   * @param usedBytes - bytes in use
   * @param heldBytes - those of them that are counted as held
   */
  recordCollection(usedBytes: number, heldBytes: number): void {
    this.uncountedBytes = usedBytes - heldBytes;
    this.collectedHeldBytes = heldBytes;
    if (heldBytes <= this.leastHeldBytes) {
      this.leastHeldBytes = heldBytes;
      this.idleBytes = this.uncountedBytes;
    }
  }

  /**
   * Returns the bytes in use.
   *
   * @param heldBytes - bytes that are counted as held now
   */
  get(heldBytes: number): number {
    const { collectedHeldBytes, uncountedBytes } = this;
    if (heldBytes >= collectedHeldBytes) {
      return uncountedBytes + heldBytes;
    }
    const ownBytes = Math.min(this.idleBytes, uncountedBytes);
    const heldShare = heldBytes / collectedHeldBytes;
    return ownBytes + (uncountedBytes - ownBytes) * heldShare + heldBytes;
  }
}
