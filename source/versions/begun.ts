/**
 * The streams that have recently begun, by the id of the caller's attempt, as
 * far as this host has served them or read of them.
 */

/** A stream that has begun. */
export interface BegunStream {
  /** Id of the caller's attempt that brought its first event. */
  readonly attempt: string;
  readonly service: string;
  /** Software version of the endpoint that began it. */
  readonly version: string;
}

interface RememberedStream extends BegunStream {
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** Streams that are remembered at most, the oldest of which are forgotten. */
const MAX_STREAMS = 20_000;

/** The streams of the last `lifetime` milliseconds. */
export class BegunStreams {
  /** In the order in which they were added. */
  private readonly streams = new Map<string, RememberedStream>();

  constructor(private readonly lifetime: number) {}

  /** Adds a stream, unless its attempt is known. */
  add(stream: BegunStream, now: number): void {
    if (this.streams.has(stream.attempt)) return;
    this.streams.set(stream.attempt, {...stream, at: now});
    this.removeOld(now);
  }

  /** The version that began a stream; undefined if it is not remembered. */
  version(attempt: string): string | undefined {
    return this.streams.get(attempt)?.version;
  }

  /** The remembered streams of a service, the oldest first. */
  ofService(service: string, now: number): BegunStream[] {
    this.removeOld(now);
    return [...this.streams.values()].filter(
      stream => stream.service === service,
    );
  }

  private removeOld(now: number): void {
    for (const [attempt, {at}] of this.streams) {
      const isOld = now - at > this.lifetime;
      if (!isOld && this.streams.size <= MAX_STREAMS) return;
      this.streams.delete(attempt);
    }
  }
}
