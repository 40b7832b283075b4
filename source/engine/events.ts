/**
 * The events of an engine's stream. Each has an id of attempt and sequence, so
 * that late, doubled and crossed ones are told from the one that is next.
 */
import {createParser} from 'eventsource-parser';

/** Largest incomplete event that is buffered. */
const MAX_EVENT_LENGTH = 262_144;

/** One event of a stream. */
export interface StreamEvent {
  readonly attempt: string;
  /** Counts from 1 within an attempt. */
  readonly sequence: number;
  readonly data: string;
}

/**
 * A function that takes the text of a stream in any pieces and calls back for
 * each whole event. It returns false, and takes nothing more, once an event is
 * too large.
 *
 * ```ts
 * const feed = eventReader(event => relay.take(event));
 * body.setEncoding('utf8').on('data', feed);
 * ```
 */
export function eventReader(
  take: (event: StreamEvent) => void,
): (text: string) => boolean {
  let isReadable = true;
  const parser = createParser({
    maxBufferSize: MAX_EVENT_LENGTH,
    onError: ({type}) => {
      if (type === 'max-buffer-size-exceeded') isReadable = false;
    },
    onEvent: ({id = '', data}) => {
      const split = id.lastIndexOf(':');
      const attempt = id.slice(0, Math.max(split, 0));
      const sequence = Number(id.slice(split + 1));
      take({attempt, sequence, data});
    },
  });
  return text => {
    if (isReadable) parser.feed(text);
    return isReadable;
  };
}
