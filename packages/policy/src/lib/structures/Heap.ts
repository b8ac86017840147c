/**
 * A binary heap that tracks the position of each item, so that any item can be removed or updated in
 * logarithmic time.
 *
 * @example
 * ```ts
 * const heap = new Heap<Lane>((left, right) => left.start - right.start);
 * heap.push(lane);
 * ```
 * @internal
 */
export class Heap<Item> {
  private readonly items: Item[] = [];

  private readonly positions = new Map<Item, number>();

  private readonly compare: (left: Item, right: Item) => number;

  /** @param compare - negative if the left item comes first */
  constructor(compare: (left: Item, right: Item) => number) {
    this.compare = compare;
  }

  get size(): number {
    return this.items.length;
  }

  has(item: Item): boolean {
    return this.positions.has(item);
  }

  peek(): Item | undefined {
    return this.items[0];
  }

  push(item: Item): void {
    this.items.push(item);
    this.siftUp(this.items.length - 1, item);
  }

  remove(item: Item): void {
    const position = this.positions.get(item);
    if (position === undefined) {
      return;
    }
    this.positions.delete(item);
    const last = this.items.pop()!;
    if (position < this.items.length) {
      this.reposition(position, last);
    }
  }

  /** Restores the position of an item after its key changed. */
  update(item: Item): void {
    const position = this.positions.get(item);
    if (position !== undefined) {
      this.reposition(position, item);
    }
  }

  private reposition(position: number, item: Item): void {
    const parent = Math.floor((position - 1) / 2);
    if (position > 0 && this.compare(item, this.items[parent]!) < 0) {
      this.siftUp(position, item);
    } else {
      this.siftDown(position, item);
    }
  }

  private siftUp(from: number, item: Item): void {
    let position = from;
    while (position > 0) {
      const parent = Math.floor((position - 1) / 2);
      if (this.compare(this.items[parent]!, item) <= 0) {
        break;
      }
      this.setItem(position, this.items[parent]!);
      position = parent;
    }
    this.setItem(position, item);
  }

  private siftDown(from: number, item: Item): void {
    let position = from;
    for (;;) {
      const child = this.getSmallerChild(position);
      if (child === undefined || this.compare(item, this.items[child]!) <= 0) {
        break;
      }
      this.setItem(position, this.items[child]!);
      position = child;
    }
    this.setItem(position, item);
  }

  private getSmallerChild(position: number): number | undefined {
    const left = 2 * position + 1;
    const right = left + 1;
    if (left >= this.items.length) {
      return undefined;
    }
    if (right < this.items.length && this.compare(this.items[right]!, this.items[left]!) < 0) {
      return right;
    }
    return left;
  }

  private setItem(position: number, item: Item): void {
    this.items[position] = item;
    this.positions.set(item, position);
  }
}
