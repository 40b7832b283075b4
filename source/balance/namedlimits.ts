/**
 * The limits that endpoints have named in their responses: the requests a second
 * that they take from all hosts together. The latest statement about an endpoint
 * holds, whichever host received it; a response that names no limit ends it.
 */

/** What a response of an endpoint states about its limit. */
export interface LimitStatement {
  readonly id: string;
  /** Requests a second; absent where the response names no limit. */
  readonly rate?: number | undefined;
  /** Milliseconds since the response. */
  readonly ago: number;
}

/** A change of the limit that an endpoint names, in requests a second. */
export interface LimitChange {
  readonly id: string;
  /** Undefined where it named none before. */
  readonly before: number | undefined;
  /** Undefined where it names none any more. */
  readonly rate: number | undefined;
  /** Whether this host received the response that states it. */
  readonly isOwn: boolean;
}

interface NamedLimit {
  /** Undefined where the limit has ended. */
  readonly rate: number | undefined;
  /** Monotonic milliseconds of the response. */
  readonly at: number;
  /** Whether this host received the response. */
  readonly isOwn: boolean;
}

/**
 * Time after the last statement about an endpoint for which a limit holds. As
 * long as a limit holds, some host sends, and the response says whether it does.
 */
const STATEMENT_MILLISECONDS = 20_000;

/** The latest statements, by endpoint. */
export class NamedLimits {
  private readonly limits = new Map<string, NamedLimit>();

  /** `onChange` is called when the limit of an endpoint has changed. */
  constructor(private readonly onChange: (change: LimitChange) => void) {}

  /** The limit of an endpoint in requests a second; undefined for none. */
  rate(id: string, now: number): number | undefined {
    const limit = this.limits.get(id);
    if (!limit || now - limit.at > STATEMENT_MILLISECONDS) return undefined;
    return limit.rate;
  }

  /** Monotonic milliseconds at which the limit lapses; Infinity for none. */
  lapsesAt(id: string): number {
    const limit = this.limits.get(id);
    if (limit?.rate === undefined) return Infinity;
    return limit.at + STATEMENT_MILLISECONDS;
  }

  /** Applies a response that this host has received. */
  recordOwn(id: string, rate: number | undefined, now: number): void {
    if (rate === undefined && !this.limits.has(id)) return;
    this.apply(id, {rate, at: now, isOwn: true}, now);
  }

  /** Applies what another host has received. */
  recordReport({id, rate, ago}: LimitStatement, now: number): void {
    const at = now - ago;
    const known = this.limits.get(id);
    if (known ? known.at >= at : rate === undefined) return;
    this.apply(id, {rate, at, isOwn: false}, now);
  }

  /** Forgets an endpoint that has left or restarted. */
  remove(id: string): void {
    this.limits.delete(id);
  }

  /** What this host has received since a monotonic time, for the other hosts. */
  statementsSince(time: number, now: number): LimitStatement[] {
    const statements: LimitStatement[] = [];
    for (const [id, {rate, at, isOwn}] of this.limits) {
      if (isOwn && at >= time) statements.push({id, rate, ago: now - at});
    }
    return statements;
  }

  private apply(id: string, limit: NamedLimit, now: number): void {
    const before = this.rate(id, now);
    this.limits.set(id, limit);
    const {rate, isOwn} = limit;
    if (rate !== before) this.onChange({id, before, rate, isOwn});
  }
}
