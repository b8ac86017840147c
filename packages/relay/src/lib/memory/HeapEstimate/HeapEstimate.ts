/**
 * Estimates how much of the heap is in use, without its garbage: what a collection has left, and what was held
 * and released since.
 *
 * @example
 * ```ts
 * const estimate = new HeapEstimate();
 * estimate.recordCollection(30_000_000, 10_000_000);
 * estimate.get(15_000_000); // 35_000_000
 * ```
 */
export class HeapEstimate {
  private ownBytes = 0;

  /**
   * Records what a collection of the whole heap has left.
   *
   * @param usedBytes - bytes in use
   * @param heldBytes - those of them that are counted as held
   */
  recordCollection(usedBytes: number, heldBytes: number): void {
    this.ownBytes = usedBytes - heldBytes;
  }

  /**
   * Returns the bytes in use.
   *
   * @param heldBytes - bytes that are counted as held now
   */
  get(heldBytes: number): number {
    return this.ownBytes + heldBytes;
  }
}
