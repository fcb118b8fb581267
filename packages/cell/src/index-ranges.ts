/** A set of indexes, kept as ranges: small where its members are adjacent. */

/** The members, as pairs of the first index and the one after the last. */
export type RangeRows = readonly number[];

/** A growing set of counts from 0. */
export class IndexRanges {
  /** Pairs of the first index and the one after the last, in order. */
  private readonly bounds: number[] = [];
  /** How many indexes it holds. */
  size = 0;

  /** Whether it holds an index. */
  has(index: number): boolean {
    return this.countBounds(index) % 2 === 1;
  }

  /**
   * Adds an index; does nothing if it is there.
   *
   * @example
   * done.add(7);
   */
  add(index: number): void {
    this.addRange(index, index + 1);
  }

  /**
   * The first index from the given one on that it does not hold.
   *
   * @example
   * const next = done.firstMissing(0);
   */
  firstMissing(from: number): number {
    const at = this.countBounds(from);
    return at % 2 === 1 ? (this.bounds[at] ?? from) : from;
  }

  /** Describes the set for a record. */
  toRows(): RangeRows {
    return this.bounds;
  }

  /**
   * Adds what `toRows` described.
   *
   * @example
   * done.addRows(record.done);
   */
  addRows(rows: RangeRows): void {
    for (let i = 0; i + 1 < rows.length; i += 2) {
      this.addRange(rows[i] ?? 0, rows[i + 1] ?? 0);
    }
  }

  private addRange(from: number, to: number): void {
    if (from >= to) return;
    // Adjacent ranges are joined.
    const first = this.countBounds(from - 1);
    const last = this.countBounds(to);
    const start = first % 2 === 1 ? (this.bounds[first - 1] ?? from) : from;
    const end = last % 2 === 1 ? (this.bounds[last] ?? to) : to;
    const begin = first - (first % 2);
    const after = last + (last % 2);
    const replaced = this.bounds.slice(begin, after);
    this.bounds.splice(begin, replaced.length, start, end);
    this.size += end - start - sumLengths(replaced);
  }

  /** How many bounds are at the index or before it; odd if it is held. */
  private countBounds(index: number): number {
    const {bounds} = this;
    let low = 0;
    let high = bounds.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((bounds[middle] ?? Infinity) <= index) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

function sumLengths(bounds: readonly number[]): number {
  let sum = 0;
  for (let i = 0; i + 1 < bounds.length; i += 2) {
    sum += (bounds[i + 1] ?? 0) - (bounds[i] ?? 0);
  }
  return sum;
}
