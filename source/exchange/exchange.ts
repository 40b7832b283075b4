/**
 * One caller's request, from its arrival to its outcome, and the register of
 * all that are under way. When something is withdrawn, the register finds what
 * depends on it and ends that in the same turn.
 */
import {randomUUID} from 'node:crypto';

import {Cancellation} from '../cancellation/index.js';
import {requestChart} from '../charts/index.js';
import type {Withdrawal} from '../configuration/index.js';
import {Refusal, type Outcome} from '../errors/index.js';
import type {Caller} from '../identity/index.js';
import type {CallerAnswer} from '../relay/index.js';
import type {Match} from './route.js';

/** One caller's request. */
export class Exchange {
  readonly id = randomUUID();
  /** Aborted when the caller has left or its right was withdrawn. */
  readonly ended = new Cancellation<Refusal>();
  /** Endpoints that it has failed at. */
  readonly failedAt = new Set<string>();
  attempts = 0;
  /** Whether an attempt under way goes on without its caller, for a repeat. */
  runsOn = false;
  private state = requestChart.initial;
  private left = false;

  constructor(
    readonly caller: Caller,
    readonly match: Match,
    readonly answer: CallerAnswer,
    /** Monotonic milliseconds. */
    readonly arrived: number,
  ) {
    answer.onGone(() => this.noteGone());
  }

  private noteGone(): void {
    if (!this.ended.aborted) this.left = true;
    const running = this.state === 'dispatched' || this.state === 'answering';
    if (!this.runsOn || !running) this.ended.abort();
  }

  /** Whether the caller left before its answer was whole. */
  get callerLeft(): boolean {
    return this.left;
  }

  /** Follows the request chart. Throws a ChartError. */
  move(event: 'queue' | 'dispatch' | 'answer' | 'settle'): void {
    this.state = requestChart.next(this.state, event);
  }

  get stateName(): string {
    return this.state;
  }

  /** Ends the request where it stands; the caller is told what is known. */
  end(code: Refusal['code'], detail: string): void {
    const refusal = new Refusal(code, this.knownOutcome(), detail);
    this.answer.refuse(refusal);
    this.ended.abort(refusal);
  }

  /** What is known about the request having run. */
  knownOutcome(): Outcome {
    if (this.state === 'answering') return 'ran';
    return this.state === 'dispatched' ? 'unknown' : 'not-run';
  }
}

/** All requests under way in a host. */
export class ExchangeRegister {
  private readonly exchanges = new Set<Exchange>();
  private emptied: () => void = () => {};

  get size(): number {
    return this.exchanges.size;
  }

  add(exchange: Exchange): void {
    this.exchanges.add(exchange);
  }

  remove(exchange: Exchange): void {
    this.exchanges.delete(exchange);
    if (this.exchanges.size === 0) this.emptied();
  }

  /** Resolves when no request is under way. */
  whenEmpty(): Promise<void> {
    if (this.exchanges.size === 0) return Promise.resolve();
    return new Promise(resolve => {
      this.emptied = resolve;
    });
  }

  /** Ends every request that depends on what was withdrawn; answers how many. */
  withdraw(withdrawals: readonly Withdrawal[]): number {
    const gone = new Set(withdrawals.map(nameOf));
    let count = 0;
    for (const exchange of this.exchanges) {
      const code = reasonToEnd(exchange, gone);
      if (!code) continue;
      count++;
      exchange.end(code, 'withdrawn while the request was under way');
    }
    return count;
  }
}

function nameOf({collection, name}: Withdrawal): string {
  return `${collection} ${name}`;
}

function reasonToEnd(
  {caller, match}: Exchange,
  gone: ReadonlySet<string>,
): Refusal['code'] | undefined {
  if (gone.has(`routes ${match.route.name}`)) return 'route-withdrawn';
  if (gone.has(`classes ${match.class.name}`)) return 'route-withdrawn';
  if (match.route.open) return undefined;
  if (gone.has(`keys ${caller.key ?? ''}`)) return 'key-withdrawn';
  return gone.has(`teams ${caller.team}`) ? 'team-withdrawn' : undefined;
}
