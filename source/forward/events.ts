/**
 * Cuts an event stream into whole events. What an endpoint sends of an event
 * that it never finishes is not passed on, so that another endpoint can go on
 * from the last whole one.
 */

const SEPARATOR = '\n\n';
const ID_FIELD = 'id:';

/** How far a stream has come. */
export class EventCutter {
  /** The id of the last whole event; undefined before the first with an id. */
  lastId: string | undefined;
  /** Whole events so far. */
  count = 0;
  private rest: Buffer = Buffer.alloc(0);

  /** `after` is the last event that came before, from another endpoint. */
  constructor(private readonly after?: string) {
    this.lastId = after;
  }

  /** Whether bytes of an unfinished event are held. */
  get unfinished(): boolean {
    return this.rest.length > 0;
  }

  /**
   * Takes bytes; answers those of the events that are now whole. Events that
   * came before are left out.
   *
   * ```ts
   * const whole = cutter.push(bytes);
   * if (whole.length > 0) response.write(whole);
   * ```
   */
  push(bytes: Buffer): Buffer {
    const all =
      this.rest.length > 0 ? Buffer.concat([this.rest, bytes]) : bytes;
    const events: Buffer[] = [];
    let begin = 0;
    for (;;) {
      const found = all.indexOf(SEPARATOR, begin);
      if (found < 0) break;
      const end = found + SEPARATOR.length;
      const event = all.subarray(begin, end);
      if (this.adopt(event)) events.push(event);
      begin = end;
    }
    this.rest = all.subarray(begin);
    const [only] = events;
    return events.length === 1 && only ? only : Buffer.concat(events);
  }

  private adopt(event: Buffer): boolean {
    const id = idOf(event);
    if (id === undefined) {
      this.count++;
      return true;
    }
    if (this.after !== undefined && !isBeyond(id, this.lastId)) return false;
    this.count++;
    this.lastId = id;
    return true;
  }
}

function idOf(event: Buffer): string | undefined {
  for (const line of event.toString('latin1').split('\n')) {
    if (line.startsWith(ID_FIELD)) return line.slice(ID_FIELD.length).trim();
  }
  return undefined;
}

function isBeyond(id: string, last: string | undefined): boolean {
  return last === undefined || Number(id) > Number(last);
}
