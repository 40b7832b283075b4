/**
 * What callers, endpoints and the platform have seen in a soak, and which of
 * the promises it breaks. A promise with a bound in time is checked against
 * what a host itself has said that it knows, so a slow machine breaks none.
 */

/** A promise that was broken. */
export interface Violation {
  readonly promise:
    | 'runs-at-most-once'
    | 'refused-is-not-run'
    | 'whole-own-answer'
    | 'only-asked-for'
    | 'no-key-passes'
    | 'withdrawn-key-stops'
    | 'leaving-endpoint-rests'
    | 'endpoint-is-left-alone'
    | 'crashing-request-stops'
    | 'window-reported-once'
    | 'fences-grow'
    | 'nothing-cut-at-a-stop'
    | 'passed-on-is-answered'
    | 'ends-only-when-told'
    | 'usage-was-run'
    | 'memory-bounded'
    | 'starts'
    | 'served-again';
  readonly detail: string;
}

/** What a caller asks. */
export interface Asked {
  readonly id: string;
  readonly host: string;
  readonly route: 'read' | 'record' | 'draft';
  readonly key: string;
  /** Whether the host had said that it knows the key to be withdrawn. */
  readonly withdrawn: boolean;
  /** Milliseconds that an endpoint works on it. */
  readonly work: number;
  /** Whether endpoints crash when they run it. */
  readonly isDeadly?: boolean;
  /** Bytes of its body, where it is a large one. */
  readonly bodyBytes?: number;
}

/** What a caller got. */
export interface Got {
  /** 0 where the connection ended without an answer. */
  readonly status: number;
  readonly body: string;
  readonly whole: boolean;
  /** Whether the host was only stopping, and nothing else was wrong with it. */
  readonly plannedOnly: boolean;
  /** Whether the host was killed, or the caller itself gave up. */
  readonly excused: boolean;
}

/** A request as an endpoint got it. */
export interface Arrived {
  readonly id: string;
  readonly endpoint: string;
  readonly team: string;
  readonly headers: string;
  /** Whether the host had said that it knows the endpoint to leave. */
  readonly left: boolean;
}

/** Last segment of the path of requests on which endpoints crash. */
export const DEADLY_RESOURCE = 'deadly';
/** Events of a whole stream. */
export const STREAM_EVENTS = 8;
export const TEAM = 'guides';

const PROMISES_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** The body of a whole answer to a request. */
export function answerTo({id, route}: Pick<Asked, 'id' | 'route'>): string {
  if (route !== 'draft') return `answer to ${id}`;
  let text = '';
  for (let event = 1; event <= STREAM_EVENTS; event++) {
    text += eventOf(id, event);
  }
  return text;
}

/** One event of a stream. */
export function eventOf(id: string, event: number): string {
  return `id: ${event}\ndata: ${id} ${event}\n\n`;
}

/** The account of one soak. */
export class Ledger {
  readonly violations: Violation[] = [];
  /** Answers of success that callers got. */
  served = 0;
  /** Answers that promise that the request has not run. */
  turnedAway = 0;
  asked = 0;
  private readonly open = new Map<string, Asked>();
  /** Requests whose callers still wait. */
  private readonly waiting = new Set<string>();
  private readonly runs = new Map<string, number>();
  private readonly refused = new Set<string>();
  /** Requests whose connection was closed without an answer, and no excuse. */
  private readonly unanswered = new Set<string>();
  private readonly reports = new Map<number, string>();
  private readonly fences = new Map<string, number>();

  ask(asked: Asked): void {
    this.asked++;
    this.open.set(asked.id, asked);
    this.waiting.add(asked.id);
  }

  /** Notes that a caller has gone. */
  leave(id: string): void {
    this.waiting.delete(id);
  }

  /** Whether the caller of a request still waits. */
  isAwaited(id: string): boolean {
    return this.waiting.has(id);
  }

  /** Notes what an endpoint got, which then runs it. */
  arrive({id, endpoint, team, headers, left}: Arrived): void {
    const asked = this.open.get(id);
    if (!asked || team !== TEAM) {
      this.broken('only-asked-for', `${id} of ${team} at ${endpoint}`);
      return;
    }
    if (headers.includes(asked.key)) this.broken('no-key-passes', id);
    if (asked.withdrawn) this.broken('withdrawn-key-stops', id);
    if (left) this.broken('leaving-endpoint-rests', `${id} at ${endpoint}`);
    const runs = (this.runs.get(id) ?? 0) + 1;
    this.runs.set(id, runs);
    const once = asked.route === 'record';
    if (once && runs > 1) this.broken('runs-at-most-once', id);
    if (once && this.refused.has(id)) this.broken('refused-is-not-run', id);
    if (this.unanswered.has(id)) this.broken('passed-on-is-answered', id);
  }

  get(asked: Asked, got: Got): void {
    const {id, route} = asked;
    const {status, body, whole, plannedOnly, excused} = got;
    this.leave(id);
    if (status === 200 && whole && body === answerTo(asked)) {
      this.served++;
      return;
    }
    if (status === 200 && whole)
      this.broken('whole-own-answer', `${id} ${route}: ${body}`);
    if (PROMISES_NOT_RUN.has(status)) this.turnedAway++;
    if (PROMISES_NOT_RUN.has(status) && route === 'record') {
      this.refused.add(id);
      if (this.runs.has(id)) this.broken('refused-is-not-run', id);
    }
    if (status === 0 && !excused) {
      this.unanswered.add(id);
      if (this.runs.has(id)) this.broken('passed-on-is-answered', id);
      return;
    }
    const cut = status === 0 || (status === 200 && !whole);
    // A request that crosses the close of its connection reaches no endpoint.
    if (cut && plannedOnly && this.runs.has(id))
      this.broken('nothing-cut-at-a-stop', `${id} ${route}: ${status} ${body}`);
  }

  /** Notes a report of a usage window. */
  report(window: number, counts: string): void {
    const before = this.reports.get(window) ?? counts;
    this.reports.set(window, before);
    if (before === counts) return;
    this.broken('window-reported-once', `${window}: ${before}, then ${counts}`);
  }

  /** Compares the usage that was reported with the runs. */
  checkUsage(reported: number): void {
    const runs = [...this.runs.values()].reduce((sum, count) => sum + count, 0);
    if (reported <= runs) return;
    this.broken('usage-was-run', `${reported} reported, ${runs} run`);
  }

  /** Notes that a host process ended which nobody had told to. */
  ended(host: string, how: string): void {
    this.broken('ends-only-when-told', `${host} ${how}`);
  }

  /** Notes that a host is not ready in time though nothing is missing. */
  overdue(host: string): void {
    this.broken('starts', host);
  }

  /** Notes that a host process has more resident megabytes than it may. */
  tooLarge(host: string, megabytes: number): void {
    this.broken('memory-bounded', `${host} ${Math.round(megabytes)} MB`);
  }

  /** Notes the fence of a call. */
  fence(subject: string, fence: number): void {
    const before = this.fences.get(subject) ?? fence;
    if (fence < before) this.broken('fences-grow', `${before}, then ${fence}`);
    this.fences.set(subject, Math.max(before, fence));
  }

  broken(promise: Violation['promise'], detail: string): void {
    this.violations.push({promise, detail});
  }
}
