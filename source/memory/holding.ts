/** Room in the memory account that one body takes, until nobody holds it. */

/** The room of one body. */
export class Holding {
  private holders = 1;

  constructor(
    private bytes: number,
    private readonly free: (bytes: number) => void,
  ) {}

  /** Notes that one more part of the program holds the body. */
  retain(): void {
    this.holders++;
  }

  /** Notes that a part of the program has let go; the last one frees the room. */
  release(): void {
    this.holders--;
    if (this.holders === 0) this.free(this.bytes);
  }

  /** Frees the room beyond so many bytes. */
  shrinkTo(bytes: number): void {
    if (bytes >= this.bytes) return;
    this.free(this.bytes - bytes);
    this.bytes = bytes;
  }
}
