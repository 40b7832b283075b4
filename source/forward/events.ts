/**
 * Splits a server-sent event stream into complete events. The bytes of an event
 * that an endpoint never finishes are not passed on, so that another endpoint
 * can resume the stream after the last complete event.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Longest end of an event that can still be incomplete: `\n\r`. */
const MAX_PARTIAL_END_BYTES = 2;
const COMMENT_PREFIX = ':';
const ID_FIELD = 'id:';
/** Largest incomplete event that is buffered. */
const MAX_EVENT_BYTES = 262_144;

/** Splits one endpoint's stream and tracks the id of its last event. */
export class EventSplitter {
  /**
   * Id of the last complete event; until an event with an id comes, the id that
   * was given to the constructor.
   */
  lastId: string | undefined;
  /**
   * Events that were returned since the count was last set to 0; comments are
   * returned, but not counted.
   */
  count = 0;
  private remainder: Buffer = Buffer.alloc(0);

  /**
   * `after` is the id of the last event that the caller already has, where the
   * stream resumes an earlier one.
   */
  constructor(private readonly after?: string) {
    this.lastId = after;
  }

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.remainder.length > 0;
  }

  /** Whether the incomplete event is larger than any that is to be expected. */
  get isEventTooLarge(): boolean {
    return this.remainder.length > MAX_EVENT_BYTES;
  }

  /**
   * Takes the next bytes of the stream and returns the events that are now
   * complete. In a resumed stream, leaves out events whose id is not above the
   * last one; ids are compared as numbers there.
   *
   * ```ts
   * const events = splitter.push(bytes);
   * if (events.length > 0) response.write(events);
   * ```
   */
  push(bytes: Buffer): Buffer {
    const searched = this.remainder.length - MAX_PARTIAL_END_BYTES;
    const all =
      this.remainder.length > 0
        ? Buffer.concat([this.remainder, bytes])
        : bytes;
    const events: Buffer[] = [];
    let begin = 0;
    for (;;) {
      const end = findEventEnd(all, Math.max(begin, searched));
      if (end < 0) break;
      const event = all.subarray(begin, end);
      if (this.accept(event)) events.push(event);
      begin = end;
    }
    this.remainder = all.subarray(begin);
    const [only] = events;
    return events.length === 1 && only ? only : Buffer.concat(events);
  }

  /** Counts an event; returns false for one that the caller already has. */
  private accept(event: Buffer): boolean {
    const {id, isComment} = parseEvent(event);
    if (isComment) return true;
    if (id === undefined) {
      this.count++;
      return true;
    }
    if (this.after !== undefined && !isLaterId(id, this.lastId)) return false;
    this.count++;
    this.lastId = id;
    return true;
  }
}

/** What decides whether an event is passed on. */
interface ParsedEvent {
  readonly id: string | undefined;
  /** Whether it has no field. */
  readonly isComment: boolean;
}

function parseEvent(event: Buffer): ParsedEvent {
  let isComment = true;
  for (const line of event.toString('latin1').split('\n')) {
    if (line.startsWith(ID_FIELD)) {
      return {id: line.slice(ID_FIELD.length).trim(), isComment: false};
    }
    if (!line.startsWith(COMMENT_PREFIX) && line.trim() !== '') {
      isComment = false;
    }
  }
  return {id: undefined, isComment};
}

/**
 * Returns the index after the blank line that ends the first event, or -1.
 * Lines end with a line feed, with or without a carriage return before it.
 */
function findEventEnd(bytes: Buffer, from: number): number {
  let lineEnd = bytes.indexOf(LINE_FEED, from);
  while (lineEnd >= 0) {
    const next = bytes[lineEnd + 1];
    if (next === LINE_FEED) return lineEnd + 2;
    const isBlankLine = next === CARRIAGE_RETURN;
    if (isBlankLine && bytes[lineEnd + 2] === LINE_FEED) return lineEnd + 3;
    lineEnd = bytes.indexOf(LINE_FEED, lineEnd + 1);
  }
  return -1;
}

function isLaterId(id: string, last: string | undefined): boolean {
  return last === undefined || Number(id) > Number(last);
}
