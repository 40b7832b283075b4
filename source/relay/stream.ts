/**
 * Passes the events of one connection on to the caller. An event counts only
 * if it is of this attempt and the next in order; a doubled or crossed one is
 * dropped, and a gap ends the connection, since what follows it cannot be
 * trusted. The stream is whole when its end marker has come.
 */
import type {CancellationSignal} from '../cancellation/index.js';
import {eventReader, type Answer, type StreamEvent} from '../engine/index.js';
import type {Clock} from '../clock/index.js';
import {discardBody} from '../wire/index.js';
import type {CallerAnswer} from './caller.js';

/** The end marker of a chat completion stream. */
const END_MARKER = '[DONE]';

/** How far a stream has come, over all its connections. */
export interface StreamProgress {
  readonly attempt: string;
  /** Sequence of the last event that was passed on. */
  sequence: number;
  /** Tokens that the caller has got. */
  tokens: number;
  /** Events that were late, doubled or crossed. */
  dropped: number;
  /** Monotonic milliseconds of the first and the last event; zero for none. */
  firstAt: number;
  lastAt: number;
  /** Longest gap between two events, in milliseconds. */
  longestGap: number;
  whole: boolean;
}

/** Why a connection's stream ended. */
export type StreamEnd = 'whole' | 'cut' | 'silent' | 'aborted';

/** Milliseconds that a connection may be silent, and who may end it. */
interface Watch {
  readonly clock: Clock;
  readonly silence: number;
  readonly signal: CancellationSignal;
}

/**
 * Relays until the stream is whole or its connection fails. Never throws.
 *
 * ```ts
 * const end = await readStream(answer, caller, progress, watch);
 * if (end === 'cut') resume(progress.sequence);
 * ```
 */
export function readStream(
  answer: Answer,
  caller: CallerAnswer,
  progress: StreamProgress,
  watch: Watch,
): Promise<StreamEnd> {
  return new Promise(resolve => {
    const {body} = answer;
    const {clock, signal} = watch;
    let heardAt = clock.monotonic();
    let paused = false;
    let pending = '';
    let finished = false;
    const finish = (end: StreamEnd) => {
      if (finished) return;
      finished = true;
      stopClock();
      stopWatching();
      body.removeAllListeners('data');
      if (end === 'whole')
        void discardBody({message: body, isComplete: answer.isWhole}, clock);
      else body.destroy();
      resolve(end);
    };
    const stopClock = clock.every(watch.silence / 2, () => {
      const silent = clock.monotonic() - heardAt >= watch.silence;
      if (silent && !paused) finish('silent');
    });
    const flush = () => {
      if (pending === '') return;
      caller.beginStream();
      const room = caller.write(pending);
      pending = '';
      if (room || progress.whole) return;
      paused = true;
      body.pause();
      caller.onRoom(() => {
        paused = false;
        heardAt = clock.monotonic();
        body.resume();
      });
    };
    let gap = false;
    const feed = eventReader(event => {
      if (gap || progress.whole) return;
      const verdict = judge(event, progress);
      if (verdict === 'gap') gap = true;
      if (verdict !== 'next') return;
      pending += `data: ${event.data}\n\n`;
      heardAt = clock.monotonic();
      note(event, progress, clock.monotonic());
    });
    body.setEncoding('utf8');
    body.on('data', (text: string) => {
      const isReadable = feed(text);
      flush();
      if (progress.whole) finish('whole');
      else if (gap || !isReadable) finish('cut');
    });
    body.on('end', () => finish(progress.whole ? 'whole' : 'cut'));
    body.on('error', () => finish('cut'));
    body.on('close', () => finish('cut'));
    const stopWatching = signal.onAbort(() => finish('aborted'));
  });
}

function judge(
  event: StreamEvent,
  progress: StreamProgress,
): 'next' | 'drop' | 'gap' {
  if (
    event.attempt !== progress.attempt ||
    event.sequence <= progress.sequence
  ) {
    progress.dropped++;
    return 'drop';
  }
  return event.sequence === progress.sequence + 1 ? 'next' : 'gap';
}

function note(event: StreamEvent, progress: StreamProgress, now: number): void {
  progress.sequence = event.sequence;
  if (event.data === END_MARKER) {
    progress.whole = true;
    return;
  }
  if (progress.firstAt === 0) progress.firstAt = now;
  else
    progress.longestGap = Math.max(progress.longestGap, now - progress.lastAt);
  progress.lastAt = now;
  progress.tokens++;
}
