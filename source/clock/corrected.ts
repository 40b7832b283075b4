/**
 * A clock whose time of day does not follow jumps of the machine's. It goes on
 * with the monotonic clock, and follows the machine only where the two agree but
 * for drift. A machine that was suspended, during which the monotonic clock may
 * have stood still, or that was started while its time was off, learns of it
 * from the times of other hosts.
 */
import type {Cancel, Clock} from './clock.js';

/** Difference between two readings that is followed as drift. */
const MAX_DRIFT_MILLISECONDS = 200;
/** Difference to the median of the other hosts from which theirs is taken. */
const MAX_PEER_DIFFERENCE_MILLISECONDS = 500;
/** Other hosts that must be known to correct the time by them. */
const MIN_PEERS = 2;
/** Age from which what another host has said no longer counts. */
const PEER_RETENTION_MILLISECONDS = 10_000;
/** A jump that lasts longer than this is taken for the true time. */
const LASTING_JUMP_MILLISECONDS = 20_000;

/** A correction of the time of day, in milliseconds. */
export interface ClockCorrection {
  readonly by: number;
  readonly source: 'peers' | 'lasting-jump';
}

interface PeerTime {
  /** Unix milliseconds minus monotonic milliseconds of this host. */
  readonly offset: number;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** A clock that is corrected for jumps. */
export class CorrectedClock implements Clock {
  /** Unix milliseconds minus monotonic milliseconds. */
  private offset: number;
  /** Monotonic milliseconds at which a jump was first seen. */
  private jumpedAt: number | undefined;
  private readonly peers = new Map<string, PeerTime>();

  constructor(
    private readonly clock: Clock,
    private readonly onCorrection: (correction: ClockCorrection) => void,
  ) {
    this.offset = clock.now().getTime() - clock.monotonic();
  }

  now(): Date {
    const monotonic = this.clock.monotonic();
    this.follow(this.clock.now().getTime() - monotonic, monotonic);
    return new Date(monotonic + this.offset);
  }

  monotonic(): number {
    return this.clock.monotonic();
  }

  after(delay: number, callback: () => void): Cancel {
    return this.clock.after(delay, callback);
  }

  every(period: number, callback: () => void): Cancel {
    return this.clock.every(period, callback);
  }

  /**
   * Records the time that another host has just stated, in Unix milliseconds.
   *
   * ```ts
   * clock.recordPeerTime('host-2', pulse.time);
   * ```
   */
  recordPeerTime(peer: string, unixMilliseconds: number): void {
    const at = this.clock.monotonic();
    const offset = unixMilliseconds - at;
    const before = this.peers.get(peer);
    // What has waited on the way is late, never early.
    if (!before || offset >= before.offset || isOld(before, at))
      this.peers.set(peer, {offset, at});
    for (const [name, known] of this.peers) {
      if (isOld(known, at)) this.peers.delete(name);
    }
    if (this.peers.size < MIN_PEERS) return;
    const offsets = [...this.peers.values()].map(({offset}) => offset);
    const by = medianOf([this.offset, ...offsets]) - this.offset;
    if (Math.abs(by) <= MAX_PEER_DIFFERENCE_MILLISECONDS) return;
    this.correct({by, source: 'peers'});
  }

  /** Follows the machine's time of day, unless it has just jumped. */
  private follow(offset: number, monotonic: number): void {
    const jump = offset - this.offset;
    if (Math.abs(jump) <= MAX_DRIFT_MILLISECONDS) {
      this.offset = offset;
      this.jumpedAt = undefined;
      return;
    }
    this.jumpedAt ??= monotonic;
    if (monotonic - this.jumpedAt > LASTING_JUMP_MILLISECONDS)
      this.correct({by: jump, source: 'lasting-jump'});
  }

  private correct(correction: ClockCorrection): void {
    this.offset += correction.by;
    this.jumpedAt = undefined;
    this.onCorrection(correction);
  }
}

function isOld({at}: PeerTime, now: number): boolean {
  return now - at > PEER_RETENTION_MILLISECONDS;
}

/** The median; of an even number of values, the lower one in the middle. */
function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
