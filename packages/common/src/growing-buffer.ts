/** Collects received data in few buffers, whatever the size of its parts. */

const FIRST_BLOCK_BYTES = 4096;
const MAX_BLOCK_BYTES = 1024 * 1024;

/** Size of the blocks of a pool, in bytes. */
const POOL_BLOCK_BYTES = 16_384;
const SLAB_BYTES = 64 * POOL_BLOCK_BYTES;

/**
 * Blocks that are used again, and never freed: whoever fills them bounds their
 * number. Blocks of bodies that are received slowly become old objects, which
 * V8 frees only after about 64 MB of them.
 */
export class BlockPool {
  private readonly free: Buffer[] = [];

  /** Returns a block that is not in use. */
  take(): Buffer {
    if (this.free.length === 0) this.addBlocks();
    return this.free.pop() ?? Buffer.allocUnsafeSlow(POOL_BLOCK_BYTES);
  }

  /**
   * Returns a block that is not in use. A new one is allocated alone and fills a
   * gap in memory that was freed, for blocks that are used for a short time.
   */
  takeSingle(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(POOL_BLOCK_BYTES);
  }

  /** Takes a block back. */
  give(block: Buffer): void {
    if (block.length === POOL_BLOCK_BYTES) this.free.push(block);
  }

  /** Blocks in one piece leave no gaps between those of short-lived buffers. */
  private addBlocks(): void {
    const slab = Buffer.allocUnsafeSlow(SLAB_BYTES);
    for (let at = 0; at < SLAB_BYTES; at += POOL_BLOCK_BYTES) {
      this.free.push(slab.subarray(at, at + POOL_BLOCK_BYTES));
    }
  }
}

/** Blocks for all bodies and queues of the process. */
export const sharedBlocks = new BlockPool();

/**
 * Copies data into blocks. A buffer for each part would take about 1 KB for a
 * part of one byte.
 */
export class GrowingBuffer {
  private readonly full: Buffer[] = [];
  private block: Buffer = Buffer.alloc(0);
  private used = 0;
  private size = 0;

  /** Without a pool, the blocks grow with the data. */
  constructor(private readonly pool: BlockPool | null = null) {}

  /** Number of bytes held. */
  get length(): number {
    return this.size;
  }

  /** Number of bytes of memory that are in use. */
  get capacity(): number {
    const {length} = this.block;
    return this.full.reduce((sum, each) => sum + each.length, length);
  }

  /**
   * Appends a copy of some data.
   *
   * @example
   * stream.on('data', chunk => body.append(chunk));
   */
  append(data: Buffer): void {
    let rest = data;
    while (rest.length > 0) {
      if (this.used === this.block.length) this.addBlock(rest.length);
      const copied = rest.copy(this.block, this.used);
      this.used += copied;
      this.size += copied;
      rest = rest.subarray(copied);
    }
  }

  /** Returns all data; the buffer is empty afterwards. */
  toBuffer(): Buffer {
    const last = this.block.subarray(0, this.used);
    const all =
      this.full.length === 0 ? last : Buffer.concat([...this.full, last]);
    if (this.full.length === 0) this.block = Buffer.alloc(0);
    this.clear();
    return all;
  }

  /** Drops the data. */
  clear(): void {
    for (const block of [...this.full, this.block]) this.pool?.give(block);
    this.full.length = 0;
    this.block = Buffer.alloc(0);
    this.used = 0;
    this.size = 0;
  }

  private addBlock(neededBytes: number): void {
    if (this.used > 0) this.full.push(this.block);
    const isFirst = this.size === 0;
    this.block =
      this.pool !== null && !isFirst
        ? this.pool.take()
        : Buffer.allocUnsafeSlow(this.nextSize(neededBytes));
    this.used = 0;
  }

  private nextSize(neededBytes: number): number {
    if (this.pool !== null) return FIRST_BLOCK_BYTES;
    const wanted = Math.max(FIRST_BLOCK_BYTES, this.size, neededBytes);
    return Math.min(MAX_BLOCK_BYTES, wanted);
  }
}
