/** The deliveries of one connection, slice by slice where they take long. */
import type {Socket} from 'node:net';

/** Bytes that are delivered at once: some hundreds of the smallest chunks. */
const SLICE_BYTES = 4_096;
/** Milliseconds after which the rest of what was read waits for its turn. */
const READ_MILLISECONDS = 0.5;
/** What Node reads from a connection at once. */
const FULL_READ_BYTES = 65_536;

/** Gives connections their turns. */
export interface TurnQueue {
  /** Returns monotonic milliseconds. */
  now(): number;
  /** Lets a connection deliver its next slice when it is its turn. */
  enqueue(connection: PacedConnection): void;
}

/**
 * What one socket has received. Stands between the two methods by which a socket
 * hands over what it has read and is asked for more.
 */
export class PacedConnection {
  private readonly push: (bytes: Buffer | null) => boolean;
  private readonly read: (size: number) => void;
  /** What was read and not delivered, the oldest first. */
  private undelivered: Buffer[] = [];
  private isEndUndelivered = false;
  private isQueued = false;
  private wasLastReadFull = false;
  /** Whether the last bytes took long, so that the next ones wait. */
  private isSlow = false;
  private isHeld = false;
  /** Whether the reader has asked for more while the connection was held. */
  private isReadDue = false;

  constructor(
    private readonly socket: Socket,
    private readonly pacer: TurnQueue,
  ) {
    this.push = socket.push.bind(socket);
    this.read = socket._read.bind(socket);
    socket.push = (bytes: Buffer | null) => this.handleRead(bytes);
    socket._read = size => this.readMore(size);
  }

  /**
   * Whether bytes have come that were not delivered, or may have, since the last
   * read was a full one and the next one waits for its turn.
   */
  get hasMore(): boolean {
    return this.hasUndelivered || this.wasLastReadFull;
  }

  private get hasUndelivered(): boolean {
    return this.undelivered.length > 0;
  }

  /**
   * Whether anybody takes what is delivered. After the end of a response nobody
   * does: what comes then must not be delivered to the next request.
   */
  private get hasReader(): boolean {
    return !this.socket.destroyed && this.socket.listenerCount('data') > 0;
  }

  /** Delivers and reads nothing more until `resume`. */
  hold(): void {
    this.isHeld = true;
  }

  /** Delivers and reads again. */
  resume(): void {
    if (!this.isHeld) return;
    this.isHeld = false;
    if (this.hasUndelivered) this.enqueue();
    else if (this.isReadDue) this.read(FULL_READ_BYTES);
    this.isReadDue = false;
  }

  /** Delivers a slice in the turn of this connection. */
  deliverWaiting(): void {
    this.isQueued = false;
    if (this.isHeld) return;
    const [bytes] = this.undelivered;
    if (!bytes || !this.hasReader) return;
    const startedAt = this.pacer.now();
    const slice = bytes.subarray(0, SLICE_BYTES);
    this.undelivered.shift();
    if (bytes.length > SLICE_BYTES)
      this.undelivered.unshift(bytes.subarray(SLICE_BYTES));
    this.push(slice);
    this.isSlow = this.pacer.now() - startedAt > READ_MILLISECONDS;
    if (!this.hasUndelivered && this.isEndUndelivered) this.deliverEnd();
  }

  /** Takes what was read; returns whether more may be read at once. */
  private handleRead(bytes: Buffer | null): boolean {
    if (bytes === null) {
      if (!this.hasUndelivered) return this.push(null);
      this.isEndUndelivered = true;
      return false;
    }
    this.wasLastReadFull = bytes.length >= FULL_READ_BYTES;
    if (this.hasUndelivered || this.isSlow || this.isHeld) {
      this.undelivered.push(bytes);
      this.enqueue();
      return false;
    }
    const hasRoom = this.deliver(bytes);
    // The loop would read on from this connection before it turns to others.
    return hasRoom && !this.wasLastReadFull;
  }

  /** Delivers slices while there is time; returns whether more may be read. */
  private deliver(bytes: Buffer): boolean {
    const end = this.pacer.now() + READ_MILLISECONDS;
    let hasRoom = true;
    let rest = bytes;
    do {
      hasRoom = this.push(rest.subarray(0, SLICE_BYTES));
      rest = rest.subarray(SLICE_BYTES);
      this.isSlow = this.pacer.now() > end;
    } while (
      rest.length > 0 &&
      hasRoom &&
      !this.isSlow &&
      !this.isHeld &&
      this.hasReader
    );
    if (rest.length > 0) this.undelivered.push(rest);
    return hasRoom && rest.length === 0 && !this.isHeld;
  }

  /** Called when the reader has room for more. */
  private readMore(size: number): void {
    if (this.isHeld) this.isReadDue = true;
    else if (this.hasUndelivered) this.enqueue();
    else this.read(size);
  }

  private enqueue(): void {
    if (this.isQueued || this.isHeld) return;
    this.isQueued = true;
    this.pacer.enqueue(this);
  }

  private deliverEnd(): void {
    this.isEndUndelivered = false;
    this.push(null);
    this.socket.read(0);
  }
}
