/**
 * The events of an engine's stream. Each has an id of attempt and sequence, so
 * that late, doubled and crossed ones are told from the one that is next.
 */
import {createParser} from 'eventsource-parser';

/** One event of a stream. */
export interface StreamEvent {
  readonly attempt: string;
  /** Counts from 1 within an attempt. */
  readonly sequence: number;
  readonly data: string;
}

/**
 * A function that takes the text of a stream in any pieces and calls back for
 * each whole event.
 *
 * ```ts
 * const feed = eventReader(event => relay.take(event));
 * body.setEncoding('utf8').on('data', feed);
 * ```
 */
export function eventReader(
  take: (event: StreamEvent) => void,
): (text: string) => void {
  const parser = createParser({
    onEvent: ({id = '', data}) => {
      const split = id.lastIndexOf(':');
      const attempt = id.slice(0, Math.max(split, 0));
      const sequence = Number(id.slice(split + 1));
      take({attempt, sequence, data});
    },
  });
  return text => parser.feed(text);
}
