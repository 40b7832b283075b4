/**
 * One caller's request, from its arrival to its outcome, and the registry of
 * all requests in progress. When a configuration object is withdrawn, the
 * registry ends the requests that depend on it, in the same turn of the event
 * loop.
 */
import {randomUUID} from 'node:crypto';

import {Cancellation} from '../cancellation/index.js';
import {requestChart} from '../charts/index.js';
import type {Withdrawal} from '../configuration/index.js';
import {Refusal, type Outcome} from '../errors/index.js';
import type {Caller} from '../identity/index.js';
import type {CallerAnswer} from '../relay/index.js';
import type {RouteMatch} from './route.js';

/** The state of one caller's request and its response. */
export class Exchange {
  readonly id = randomUUID();
  /**
   * Aborted when the caller has disconnected, or when the route, class, API key
   * or team of the request was withdrawn. Only a withdrawal sets a reason.
   */
  readonly cancellation = new Cancellation<Refusal>();
  /** Names of the endpoints at which an attempt has failed. */
  readonly failedEndpoints = new Set<string>();
  /** Attempts that have got a slot. */
  attempts = 0;
  /**
   * Whether a running attempt continues after the caller has disconnected, so
   * that a duplicate request can get its outcome.
   */
  survivesDisconnect = false;
  private state = requestChart.initial;
  private callerDisconnected = false;

  constructor(
    readonly caller: Caller,
    readonly match: RouteMatch,
    readonly answer: CallerAnswer,
    /** Arrival time in monotonic milliseconds. */
    readonly arrived: number,
  ) {
    answer.onGone(() => this.onCallerDisconnect());
  }

  private onCallerDisconnect(): void {
    if (!this.cancellation.aborted) this.callerDisconnected = true;
    const running = this.state === 'dispatched' || this.state === 'answering';
    if (!this.survivesDisconnect || !running) this.cancellation.abort();
  }

  /** Whether the caller disconnected before its response was complete. */
  get hasCallerDisconnected(): boolean {
    return this.callerDisconnected;
  }

  /**
   * Applies an event of the request state chart. Throws a ChartError if the
   * chart does not allow it in the current state.
   */
  transition(event: 'queue' | 'dispatch' | 'answer' | 'settle'): void {
    this.state = requestChart.next(this.state, event);
  }

  get stateName(): string {
    return this.state;
  }

  /** Refuses and cancels the request, stating whether it is known to have run. */
  end(code: Refusal['code'], detail: string): void {
    const refusal = new Refusal(code, this.knownOutcome(), detail);
    this.answer.refuse(refusal);
    this.cancellation.abort(refusal);
  }

  /** Returns what is known about whether the request ran, from its state. */
  knownOutcome(): Outcome {
    if (this.state === 'answering') return 'ran';
    return this.state === 'dispatched' ? 'unknown' : 'not-run';
  }
}

/** All requests in progress on a host. */
export class ExchangeRegistry {
  private readonly exchanges = new Set<Exchange>();
  private notifyEmpty: () => void = () => {};

  get size(): number {
    return this.exchanges.size;
  }

  add(exchange: Exchange): void {
    this.exchanges.add(exchange);
  }

  remove(exchange: Exchange): void {
    this.exchanges.delete(exchange);
    if (this.exchanges.size === 0) this.notifyEmpty();
  }

  /** Resolves when no request is in progress. */
  whenEmpty(): Promise<void> {
    if (this.exchanges.size === 0) return Promise.resolve();
    return new Promise(resolve => {
      this.notifyEmpty = resolve;
    });
  }

  /**
   * Ends every request that depends on a withdrawn object. Returns the number
   * of requests ended.
   */
  endAffected(withdrawals: readonly Withdrawal[]): number {
    const withdrawn = new Set(withdrawals.map(withdrawalKey));
    let count = 0;
    for (const exchange of this.exchanges) {
      const code = refusalCodeFor(exchange, withdrawn);
      if (!code) continue;
      count++;
      exchange.end(code, 'withdrawn while the request was under way');
    }
    return count;
  }
}

function withdrawalKey({collection, name}: Withdrawal): string {
  return `${collection} ${name}`;
}

/**
 * Returns the code with which to end a request, if it depends on a withdrawn
 * object. Open routes depend on neither API key nor team.
 */
function refusalCodeFor(
  {caller, match}: Exchange,
  withdrawn: ReadonlySet<string>,
): Refusal['code'] | undefined {
  if (withdrawn.has(`routes ${match.route.name}`)) return 'route-withdrawn';
  if (withdrawn.has(`classes ${match.class.name}`)) return 'route-withdrawn';
  if (match.route.open) return undefined;
  if (withdrawn.has(`keys ${caller.key ?? ''}`)) return 'key-withdrawn';
  return withdrawn.has(`teams ${caller.team}`) ? 'team-withdrawn' : undefined;
}
