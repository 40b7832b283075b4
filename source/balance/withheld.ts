/**
 * What endpoints have told this host in their responses that keeps requests away
 * from them: that they leave, or for how long they want nothing from this host.
 * It is remembered by incarnation, whatever the directory says later, so that an
 * older entry does not revive an endpoint; another incarnation is not bound.
 */
import {endpointIncarnation, type EndpointEntry} from '../directory/index.js';

/** What an endpoint has told. */
interface Statement {
  readonly isLeaving: boolean;
  /** Monotonic milliseconds until which it wants no requests of this host. */
  readonly backoffUntil: number;
}

/** A change of what an endpoint has told, to be logged. */
export type WithholdingChange =
  | {readonly kind: 'leaving'; readonly id: string}
  | {
      readonly kind: 'backoff';
      readonly id: string;
      readonly duration: number;
    };

const NOTHING: Statement = {isLeaving: false, backoffUntil: -Infinity};
/** Incarnations that are remembered at most, the oldest of which are forgotten. */
const MAX_INCARNATIONS = 4_096;
/** Longest time in milliseconds that an endpoint may ask for. */
const MAX_BACKOFF_MILLISECONDS = 3_600_000;

/** What the endpoints have told this host. */
export class WithheldEndpoints {
  /** By incarnation, in the order in which they first told something. */
  private readonly statements = new Map<string, Statement>();

  /** `onChange` is called when an endpoint has told something new. */
  constructor(private readonly onChange: (change: WithholdingChange) => void) {}

  /** Records that an endpoint has told that it leaves. */
  recordLeaving(entry: EndpointEntry): void {
    const before = this.statement(entry);
    if (before.isLeaving) return;
    this.set(entry, {...before, isLeaving: true});
    this.onChange({kind: 'leaving', id: entry.id});
  }

  /**
   * Records that an endpoint wants nothing of this host for some milliseconds. A
   * shorter time does not end a longer one.
   */
  recordBackoff(entry: EndpointEntry, duration: number, now: number): void {
    const before = this.statement(entry);
    const until = now + Math.min(duration, MAX_BACKOFF_MILLISECONDS);
    if (until <= before.backoffUntil) return;
    this.set(entry, {...before, backoffUntil: until});
    this.onChange({kind: 'backoff', id: entry.id, duration});
  }

  /** Whether an endpoint may get nothing of this host now. */
  isWithheld(entry: EndpointEntry, now: number): boolean {
    const {isLeaving, backoffUntil} = this.statement(entry);
    return isLeaving || now < backoffUntil;
  }

  /** Monotonic milliseconds of the end of an endpoint’s backoff. */
  backoffUntil(entry: EndpointEntry): number {
    return this.statement(entry).backoffUntil;
  }

  private statement(entry: EndpointEntry): Statement {
    if (this.statements.size === 0) return NOTHING;
    return this.statements.get(endpointIncarnation(entry)) ?? NOTHING;
  }

  private set(entry: EndpointEntry, statement: Statement): void {
    this.statements.set(endpointIncarnation(entry), statement);
    if (this.statements.size <= MAX_INCARNATIONS) return;
    const [oldest = ''] = this.statements.keys();
    this.statements.delete(oldest);
  }
}
