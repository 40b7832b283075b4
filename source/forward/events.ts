/**
 * Splits a server-sent event stream into complete events. The bytes of an event
 * that an endpoint never finishes are not passed on, so that another endpoint
 * can resume the stream after the last complete event.
 */
import {ByteCollector} from '../wire/index.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COMMENT_PREFIX = ':';
const ID_FIELD = 'id:';
/** Most that may come without a complete event: part of one, and comments. */
const MAX_BYTES_WITHOUT_EVENT = 262_144;

/** How much of the end of an event the incomplete event ends with. */
type PartialEnd = '' | '\n' | '\n\r';

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
  /** The bytes of the incomplete event. */
  private readonly incomplete = new ByteCollector();
  private partialEnd: PartialEnd = '';
  /** Bytes since the last event, or since the begin. */
  private bytesWithoutEvent = 0;

  /**
   * `after` is the id of the last event that the caller already has, where the
   * stream resumes an earlier one.
   */
  constructor(private readonly after?: string) {
    this.lastId = after;
  }

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.incomplete.length > 0;
  }

  /**
   * Whether more has come without an event than is to be expected of a stream: an
   * event that does not end, or nothing but comments.
   */
  get lacksEvents(): boolean {
    return this.bytesWithoutEvent > MAX_BYTES_WITHOUT_EVENT;
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
    const events: Buffer[] = [];
    let begin = 0;
    let end = findFirstEventEnd(bytes, this.partialEnd);
    while (end >= 0) {
      const event = this.complete(bytes.subarray(begin, end));
      if (this.accept(event)) events.push(event);
      begin = end;
      end = findEventEnd(bytes, begin);
    }
    this.keepIncomplete(bytes.subarray(begin));
    const [only] = events;
    return events.length === 1 && only ? only : Buffer.concat(events);
  }

  /** Returns the event that ends with these bytes. */
  private complete(bytes: Buffer): Buffer {
    this.bytesWithoutEvent += bytes.length;
    this.partialEnd = '';
    if (this.incomplete.length === 0) return bytes;
    this.incomplete.push(bytes);
    return this.incomplete.take();
  }

  private keepIncomplete(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.bytesWithoutEvent += bytes.length;
    this.partialEnd = partialEndAfter(bytes, this.partialEnd);
    this.incomplete.push(bytes);
  }

  /** Counts an event; returns false for one that the caller already has. */
  private accept(event: Buffer): boolean {
    const {id, isComment} = parseEvent(event);
    if (isComment) return true;
    this.bytesWithoutEvent = 0;
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
 * Returns the index after the blank line that ends an event which began with
 * earlier bytes and whose end may have begun with them, or -1.
 */
function findFirstEventEnd(bytes: Buffer, partialEnd: PartialEnd): number {
  const [first, second] = bytes;
  if (partialEnd !== '' && first === LINE_FEED) return 1;
  const isBlankLine = partialEnd === '\n' && first === CARRIAGE_RETURN;
  if (isBlankLine && second === LINE_FEED) return 2;
  return findEventEnd(bytes, 0);
}

/** Returns how much of an event's end an incomplete event ends with. */
function partialEndAfter(bytes: Buffer, before: PartialEnd): PartialEnd {
  const last = bytes[bytes.length - 1];
  if (last === LINE_FEED) return '\n';
  if (last !== CARRIAGE_RETURN) return '';
  const isAfterLine =
    bytes.length > 1 ? bytes[bytes.length - 2] === LINE_FEED : before === '\n';
  return isAfterLine ? '\n\r' : '';
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
