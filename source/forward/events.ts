/**
 * Splits a server-sent event stream into complete events. The bytes of an event
 * that an endpoint never finishes are not passed on, so that another endpoint
 * can resume the stream after the last complete event.
 */

const SEPARATOR = '\n\n';
const ID_FIELD = 'id:';

/** Splits one endpoint's stream and tracks the id of its last event. */
export class EventSplitter {
  /**
   * Id of the last complete event; until an event with an id comes, the id that
   * was given to the constructor.
   */
  lastId: string | undefined;
  /** Events that were returned since the count was last set to 0. */
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
    const all =
      this.remainder.length > 0
        ? Buffer.concat([this.remainder, bytes])
        : bytes;
    const events: Buffer[] = [];
    let begin = 0;
    for (;;) {
      const found = all.indexOf(SEPARATOR, begin);
      if (found < 0) break;
      const end = found + SEPARATOR.length;
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
    const id = eventId(event);
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

function eventId(event: Buffer): string | undefined {
  for (const line of event.toString('latin1').split('\n')) {
    if (line.startsWith(ID_FIELD)) return line.slice(ID_FIELD.length).trim();
  }
  return undefined;
}

function isLaterId(id: string, last: string | undefined): boolean {
  return last === undefined || Number(id) > Number(last);
}
