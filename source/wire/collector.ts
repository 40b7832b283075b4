/**
 * Puts together bytes that come in pieces. Each piece is copied, so that what is
 * held is in proportion to the bytes: a piece of its own costs an object, and
 * keeps all of the memory that was read with it.
 */

const FIRST_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 65_536;

/**
 * Collects the pieces of one body or event. The time that it takes is linear in
 * the bytes and in the pieces.
 *
 * ```ts
 * const collector = new ByteCollector();
 * message.on('data', bytes => collector.push(bytes));
 * message.on('end', () => resolve(collector.take()));
 * ```
 */
export class ByteCollector {
  /** Blocks that are full, without their unused ends. */
  private full: Buffer[] = [];
  private fullBytes = 0;
  /** The block that is being filled. */
  private block: Buffer = Buffer.alloc(0);
  private used = 0;
  private allocated = 0;

  /** Bytes that were pushed since the last `take`. */
  get length(): number {
    return this.fullBytes + this.used;
  }

  /** Bytes of memory that are held. */
  get heldBytes(): number {
    return this.allocated;
  }

  /** Copies a piece to the end. */
  push(piece: Buffer): void {
    let copied = 0;
    while (copied < piece.length) {
      if (this.used === this.block.length) this.addBlock(piece.length - copied);
      const bytes = piece.copy(this.block, this.used, copied);
      copied += bytes;
      this.used += bytes;
    }
  }

  /** Returns all bytes in one buffer, and holds none of them any more. */
  take(): Buffer {
    const last = this.block.subarray(0, this.used);
    const all =
      this.full.length === 0
        ? last
        : Buffer.concat([...this.full, last], this.length);
    this.clear();
    return all;
  }

  /** Drops all bytes. */
  clear(): void {
    this.full = [];
    this.fullBytes = 0;
    this.block = Buffer.alloc(0);
    this.used = 0;
    this.allocated = 0;
  }

  /** Begins a block for at least some of the bytes that are still to come. */
  private addBlock(bytes: number): void {
    if (this.used > 0) this.full.push(this.block);
    this.fullBytes += this.used;
    const doubled = Math.max(this.block.length * 2, FIRST_BLOCK_BYTES);
    const size = Math.min(Math.max(doubled, bytes), MAX_BLOCK_BYTES);
    this.block = Buffer.allocUnsafeSlow(size);
    this.used = 0;
    this.allocated += size;
  }
}
