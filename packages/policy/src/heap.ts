/** A binary heap whose first item is the smallest. */

/** Compares two items; negative if the first sorts before the second. */
export type Comparator<T> = (a: T, b: T) => number;

/** A binary min-heap. */
export class Heap<T> {
  private items: T[] = [];

  constructor(private readonly compare: Comparator<T>) {}

  get size(): number {
    return this.items.length;
  }

  /** The smallest item. */
  first(): T | undefined {
    return this.items[0];
  }

  /** Adds an item. */
  push(item: T): void {
    this.items.push(item);
    this.siftUp(this.items.length - 1);
  }

  /** Removes and returns the smallest item. */
  pop(): T | undefined {
    const first = this.items[0];
    const last = this.items.pop();
    if (this.items.length > 0 && last !== undefined) {
      this.items[0] = last;
      this.siftDown(0);
    }
    return first;
  }

  /** Restores the heap order after the key of the first item grew. */
  updateFirst(): void {
    if (this.items.length > 1) this.siftDown(0);
  }

  /** Keeps only the items that pass the test. */
  retain(isKept: (item: T) => boolean): void {
    this.items = this.items.filter(isKept);
    for (let i = (this.items.length >> 1) - 1; i >= 0; i -= 1) {
      this.siftDown(i);
    }
  }

  /** Removes all items. */
  clear(): void {
    this.items = [];
  }

  /** Iterates over the items in no particular order. */
  [Symbol.iterator](): IterableIterator<T> {
    return this.items.values();
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (left < this.items.length && this.isBefore(left, least)) least = left;
      if (right < this.items.length && this.isBefore(right, least)) {
        least = right;
      }
      if (least === index) return;
      this.swap(index, least);
      index = least;
    }
  }

  private isBefore(a: number, b: number): boolean {
    const [first, second] = [this.items[a], this.items[b]];
    if (first === undefined || second === undefined) return false;
    return this.compare(first, second) < 0;
  }

  private swap(a: number, b: number): void {
    const [first, second] = [this.items[a], this.items[b]];
    if (first === undefined || second === undefined) return;
    this.items[a] = second;
    this.items[b] = first;
  }
}
