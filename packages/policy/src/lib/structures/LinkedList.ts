/**
 * One place in a list; it is what makes removal cheap.
 *
 * @internal
 */
export interface ListNode<Value> {
  value: Value;
  previous: ListNode<Value> | undefined;
  next: ListNode<Value> | undefined;
}

/**
 * A doubly linked list: anything is added at either end and taken from anywhere in constant time.
 *
 * @example
 * ```ts
 * const node = list.append(item);
 * list.remove(node);
 * ```
 * @internal
 */
export class LinkedList<Value> {
  private first: ListNode<Value> | undefined;

  private last: ListNode<Value> | undefined;

  private count = 0;

  get size(): number {
    return this.count;
  }

  get head(): Value | undefined {
    return this.first?.value;
  }

  get tail(): Value | undefined {
    return this.last?.value;
  }

  append(value: Value): ListNode<Value> {
    const node = { value, previous: this.last, next: undefined };
    if (this.last === undefined) {
      this.first = node;
    } else {
      this.last.next = node;
    }
    this.last = node;
    this.count += 1;
    return node;
  }

  prepend(value: Value): ListNode<Value> {
    const node = { value, previous: undefined, next: this.first };
    if (this.first === undefined) {
      this.last = node;
    } else {
      this.first.previous = node;
    }
    this.first = node;
    this.count += 1;
    return node;
  }

  /** Takes a node out; it must be in this list. */
  remove(node: ListNode<Value>): void {
    const { previous, next } = node;
    if (previous === undefined) {
      this.first = next;
    } else {
      previous.next = next;
    }
    if (next === undefined) {
      this.last = previous;
    } else {
      next.previous = previous;
    }
    this.count -= 1;
  }

  /**
   * The value with the smallest key.
   *
   * @param getKey - undefined for values that don't count
   * @param limit - how many values are looked at, from the end
   */
  findLeast(getKey: (value: Value) => number | undefined, limit: number): Value | undefined {
    let least: { value: Value; key: number } | undefined;
    let node = this.last;
    for (let looked = 0; node !== undefined && looked < limit; looked += 1) {
      const key = getKey(node.value);
      if (key !== undefined && (least === undefined || key < least.key)) {
        least = { value: node.value, key };
      }
      node = node.previous;
    }
    return least?.value;
  }
}
