/**
 * A node of a list. Keeping it allows removal in constant time.
 *
 * @internal
 */
export interface ListNode<Value> {
  value: Value;
  previous: ListNode<Value> | undefined;
  next: ListNode<Value> | undefined;
}

/**
 * A doubly linked list with constant-time insertion at both ends and removal at any position.
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

  /** Removes a node, which must be in this list. */
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
   * Finds the value with the smallest key.
   *
   * @param getKey - returns undefined for values to be skipped
   * @param limit - maximum number of values to examine, starting at the tail
   */
  findMin(getKey: (value: Value) => number | undefined, limit: number): Value | undefined {
    let min: { value: Value; key: number } | undefined;
    let node = this.last;
    for (let examined = 0; node !== undefined && examined < limit; examined += 1) {
      const key = getKey(node.value);
      if (key !== undefined && (min === undefined || key < min.key)) {
        min = { value: node.value, key };
      }
      node = node.previous;
    }
    return min?.value;
  }
}
