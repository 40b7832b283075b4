/**
 * The streams that run at the engines, by the longest pause that they allow:
 * this host’s own exactly, and those of other hosts by what its own requests of
 * the same size allow, since other hosts serve the same routes.
 */
import {isLargeForPauses} from './decide.js';

/** A stream of this host at an engine. */
export interface RunningStream {
  readonly service: string;
  readonly endpoint: string;
  /** Longest pause in milliseconds that is in time. */
  readonly pause: number;
  /** Whether its prompt belongs to the engines for large ones. */
  readonly isLarge: boolean;
}

/** The smallest pause of recent requests, and when it was last seen. */
interface SeenPause {
  readonly pause: number;
  readonly seenAt: number;
}

/** What is known of the streams of one service. */
interface ServiceStreams {
  large: SeenPause;
  small: SeenPause;
  /** Slow average of the tokens in an event. */
  eventTokens: number;
}

/** Time after which a pause that no request asks for any more is forgotten. */
const SEEN_MILLISECONDS = 30_000;
/** Weight of one pause in the average of the event size. */
const EVENT_SIZE_WEIGHT = 0.02;
/** Tokens in an event before any pause was measured. */
const INITIAL_EVENT_TOKENS = 1;
/** Tokens that an event is believed to hold at most. */
const MAX_EVENT_TOKENS = 64;
const NEVER_SEEN: SeenPause = {pause: Infinity, seenAt: -Infinity};

/** Knows which pauses the streams at each engine allow. */
export class EnginePauses {
  /** How many streams of this host allow a pause, by endpoint and pause. */
  private readonly own = new Map<string, Map<number, number>>();
  private readonly services = new Map<string, ServiceStreams>();

  /** Records a stream that is sent to an engine at a monotonic time. */
  add({service, endpoint, pause, isLarge}: RunningStream, now: number): void {
    const streams = this.own.get(endpoint) ?? new Map<number, number>();
    streams.set(pause, (streams.get(pause) ?? 0) + 1);
    this.own.set(endpoint, streams);
    const known = this.streamsOf(service);
    const side = isLarge ? 'large' : 'small';
    const {pause: before, seenAt} = known[side];
    const isForgotten = now - seenAt > SEEN_MILLISECONDS;
    if (isForgotten || pause <= before) known[side] = {pause, seenAt: now};
  }

  /** Records that a stream has left its engine. */
  remove({endpoint, pause}: RunningStream): void {
    const streams = this.own.get(endpoint);
    const count = streams?.get(pause);
    if (!streams || count === undefined) return;
    if (count > 1) streams.set(pause, count - 1);
    else streams.delete(pause);
    if (streams.size === 0) this.own.delete(endpoint);
  }

  /** Discards what is known of an engine that has left or restarted. */
  removeEndpoint(endpoint: string): void {
    this.own.delete(endpoint);
  }

  /** Discards what is known of services that are no longer configured. */
  retainServices(services: ReadonlyMap<string, unknown>): void {
    for (const service of this.services.keys())
      if (!services.has(service)) this.services.delete(service);
  }

  /**
   * Records the milliseconds between two events of a stream at an engine that
   * takes `perToken` for a token. Pauses that were exceeded say nothing about
   * the size of events.
   */
  recordGap({service, pause}: RunningStream, gap: number, perToken: number) {
    if (!(gap <= pause) || !(perToken > 0)) return;
    const known = this.streamsOf(service);
    const tokens = Math.min(
      Math.max(gap / perToken, INITIAL_EVENT_TOKENS),
      MAX_EVENT_TOKENS,
    );
    known.eventTokens += (tokens - known.eventTokens) * EVENT_SIZE_WEIGHT;
  }

  /** Tokens that an event of the service’s streams holds. */
  eventTokens(service: string): number {
    return this.services.get(service)?.eventTokens ?? INITIAL_EVENT_TOKENS;
  }

  /** Smallest pause that this host’s streams at an engine allow. */
  ownPause(endpoint: string): number {
    const streams = this.own.get(endpoint);
    let smallest = Infinity;
    if (streams)
      for (const pause of streams.keys()) smallest = Math.min(smallest, pause);
    return smallest;
  }

  /**
   * Smallest pause that streams of other hosts are taken to allow at the engines
   * for large or for small prompts.
   *
   * ```ts
   * const pause = pauses.sidePause('drafting', false, clock.monotonic());
   * ```
   */
  sidePause(service: string, isLarge: boolean, now: number): number {
    const known = this.services.get(service);
    const seen = known?.[isLarge ? 'large' : 'small'] ?? NEVER_SEEN;
    return now - seen.seenAt > SEEN_MILLISECONDS ? Infinity : seen.pause;
  }

  /**
   * Whether a prompt that takes so many milliseconds to prefill, with nothing
   * cached, is large; undefined while no pauses are known.
   */
  isLarge(
    service: string,
    {prefill, perToken}: {prefill: number; perToken: number},
    now: number,
  ): boolean | undefined {
    const pause = Math.min(
      this.sidePause(service, false, now),
      this.sidePause(service, true, now),
    );
    if (pause === Infinity) return undefined;
    const usualGap = this.eventTokens(service) * perToken;
    return isLargeForPauses({prefill, pause, usualGap});
  }

  private streamsOf(service: string): ServiceStreams {
    let known = this.services.get(service);
    if (!known) {
      const eventTokens = INITIAL_EVENT_TOKENS;
      known = {large: NEVER_SEEN, small: NEVER_SEEN, eventTokens};
      this.services.set(service, known);
    }
    return known;
  }
}
