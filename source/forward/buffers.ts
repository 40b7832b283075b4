/**
 * The limit on the memory that a host uses for responses which it buffers, over
 * all requests. Where it is exceeded, the largest response is given up, so that
 * the many small ones are not affected by a few that do not end.
 */

/** The share of one response. */
export interface BufferShare {
  /** Counts further bytes; this may evict any share, this one included. */
  add(bytes: number): void;
  /** Frees the bytes; a second call does nothing. */
  close(): void;
}

interface OpenShare {
  bytes: number;
  readonly onEvicted: () => void;
}

/** The buffered responses of a host. */
export class ResponseBuffers {
  private readonly shares = new Set<OpenShare>();
  private total = 0;

  /**
   * `limit` is in bytes; `onChange` is called with the further bytes that are held,
   * a negative amount where some are freed.
   */
  constructor(
    private readonly limit: number,
    private readonly onChange: (bytes: number) => void = () => {},
  ) {}

  /**
   * Opens the share of a response. `onEvicted` is called once if the response
   * has to be given up; its bytes no longer count then.
   *
   * ```ts
   * const share = buffers.open(() => message.destroy());
   * message.on('data', bytes => share.add(bytes.length));
   * ```
   */
  open(onEvicted: () => void): BufferShare {
    const share: OpenShare = {bytes: 0, onEvicted};
    this.shares.add(share);
    return {
      add: bytes => {
        if (!this.shares.has(share)) return;
        share.bytes += bytes;
        this.addToTotal(bytes);
        while (this.total > this.limit) this.evictLargest();
      },
      close: () => this.remove(share),
    };
  }

  private evictLargest(): void {
    let largest: OpenShare | undefined;
    for (const share of this.shares) {
      if (!largest || share.bytes > largest.bytes) largest = share;
    }
    if (!largest) return;
    this.remove(largest);
    largest.onEvicted();
  }

  private remove(share: OpenShare): void {
    if (this.shares.delete(share)) this.addToTotal(-share.bytes);
  }

  private addToTotal(bytes: number): void {
    this.total += bytes;
    this.onChange(bytes);
  }
}
