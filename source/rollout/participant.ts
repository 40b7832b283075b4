/**
 * What one host does in the roll-out of one service: which version each attempt
 * goes to, and what it reports. A share is a permission that expires; without one
 * the host uses the other versions. All times are the host's monotonic
 * milliseconds.
 */
import {
  EvidenceCounter,
  type EvidenceGroup,
  type AttemptResult,
} from './evidence.js';
import {findFault} from './judge.js';
import type {RolloutReport, RolloutShare} from './message.js';
import {hasSameContent, isSameOrder, type PlacedOrder} from './order.js';
import {EvidenceWindows} from './windows.js';
import {outcomeOf, type RolloutPhase} from './state.js';

/**
 * Time for which a share holds after the report that it replies to was sent. Three
 * replies may be lost; together with the time until a fault shows it stays well
 * below the rollback bound.
 */
export const PERMISSION_MILLISECONDS = 2_000;
/** Largest part of the rollback bound that a permission may last. */
const PERMISSION_ROLLBACK_SHARE = 0.4;
/** Part of a permission that must remain for a host to confirm its phase. */
const CONFIRMABLE_SHARE = 0.5;
/**
 * Multiple of its target after which a request without an event counts as slow.
 * Callers give up after four targets at the earliest.
 */
const OVERDUE_TARGETS = 3.5;

/** An attempt of a request at an endpoint of the service. */
export interface RunningAttempt {
  readonly route: string;
  /** Milliseconds. */
  readonly target: number;
  readonly version: string | undefined;
  readonly group: EvidenceGroup;
  readonly sentAt: number;
  /** Whether the first event, or the whole answer, has come. */
  readonly hasBegun: () => boolean;
  /** Whether it has been counted before its end, as it is overdue. */
  isCounted: boolean;
}

/** Where an attempt may go. */
export interface VersionChoice {
  /** Versions that it must not use. */
  readonly excluded: ReadonlySet<string>;
  /** The version that it must use; undefined for any that is not excluded. */
  readonly version: string | undefined;
  /** Endpoints of the new version that it may use; 0 for all. */
  readonly endpoints: number;
}

/** What a part in a roll-out starts from. */
export interface ParticipantOptions {
  /** The rollback bound in milliseconds. */
  readonly rollback?: number;
  /** The part in the service's order before this one. */
  readonly before?: RolloutParticipant | undefined;
}

/** One host's part in a roll-out. */
export class RolloutParticipant {
  private readonly counter = new EvidenceCounter();
  private readonly windows = new EvidenceWindows();
  private sent = {to: 0, all: 0};
  private share = 0;
  private endpoints = 0;
  private permittedUntil = -Infinity;
  private phase: RolloutPhase | undefined;
  private fence = -Infinity;
  private isStopped = false;
  /** Whether answers of the new version have been counted since the last check. */
  private isUnchecked = false;
  private readonly permission: number;
  private earlier: readonly string[];
  private end: 'completed' | 'reverted' | undefined;
  private heardAt = -Infinity;

  constructor(
    private placed: PlacedOrder,
    /** When this host first knew the order. */
    readonly knownAt: number,
    {rollback = Infinity, before}: ParticipantOptions = {},
  ) {
    this.permission = Math.min(
      PERMISSION_MILLISECONDS,
      rollback * PERMISSION_ROLLBACK_SHARE,
    );
    this.earlier = before ? before.excludedAfter(placed.to) : [];
  }

  /** Versions of earlier orders that were not completed. */
  get excluded(): readonly string[] {
    return this.earlier;
  }

  /** What this host acts on, for the log. */
  describe(now: number): string {
    if (this.end) return this.end;
    if (this.isStopped) return 'stopped';
    if (now < this.permittedUntil) return this.phase ?? 'unknown';
    return 'no-permission';
  }

  /** The versions that stay excluded under an order to move to another one. */
  private excludedAfter(to: string): readonly string[] {
    if (this.end === 'completed') return [];
    return [...this.earlier, this.placed.to].filter(each => each !== to);
  }

  get order(): PlacedOrder {
    return this.placed;
  }

  /** How the roll-out has ended; undefined while it has not, or is not known to. */
  get outcome(): 'completed' | 'reverted' | undefined {
    return this.end;
  }

  /** Monotonic milliseconds at which the leader was last heard. */
  get leaderHeardAt(): number {
    return this.heardAt;
  }

  /** The part of the requests that this host may send to the new version. */
  shareAt(now: number): number {
    if (this.end) return this.end === 'completed' ? 1 : 0;
    if (this.isStopped || now >= this.permittedUntil) return 0;
    return this.share;
  }

  /** Takes a repetition of the order into account. */
  repeat(order: PlacedOrder): void {
    this.placed = order;
  }

  /** Takes over how the roll-out has ended, from the store or the leader. */
  finish(outcome: 'completed' | 'reverted', excluded: readonly string[]): void {
    this.end = outcome;
    this.earlier = excluded;
  }

  /**
   * Takes over what the leader allows. Returns false if this host knows better:
   * that the roll-out has ended.
   */
  handleShare(message: RolloutShare, now: number): boolean {
    if (message.fence < this.fence) return true;
    const {order, phase, share, endpoints, excluded, echo} = message;
    const outcome = outcomeOf(phase);
    const isOwn =
      outcome === 'running'
        ? hasSameContent(order, this.placed)
        : isSameOrder(order, this.placed);
    if (!isOwn) return true;
    this.fence = message.fence;
    this.heardAt = now;
    if (this.end) return outcome !== 'running';
    if (outcome !== 'running') {
      this.finish(outcome, excluded);
      return true;
    }
    this.earlier = excluded;
    this.phase = phase;
    this.share = share;
    this.endpoints = endpoints;
    // A stamp from the future is of an earlier incarnation of this host.
    const isValid = echo !== undefined && echo <= now;
    this.permittedUntil = isValid ? echo + this.permission : -Infinity;
    return true;
  }

  /**
   * Chooses the version of an attempt. `point` is random, from 0 to below 1. A
   * stream that has begun stays at its version, and a request that has failed at
   * the new version goes to the others.
   */
  choose(
    streamVersion: string | undefined,
    hasFailed: boolean,
    point: number,
    now: number,
  ): VersionChoice {
    const {to} = this.placed;
    const share = this.shareAt(now);
    const {endpoints} = this;
    const excluded = new Set(this.earlier);
    if (streamVersion !== undefined) {
      if (share === 0) excluded.add(to);
      return {excluded, version: streamVersion, endpoints: 0};
    }
    if (this.isClosing(now)) return {excluded, version: to, endpoints: 0};
    if (hasFailed || point >= share) {
      excluded.add(to);
      return {excluded, version: undefined, endpoints: 0};
    }
    return {excluded, version: to, endpoints: share < 1 ? endpoints : 0};
  }

  /** Whether nothing may go to the other versions any more. */
  isClosing(now: number): boolean {
    if (this.end) return this.end === 'completed';
    return this.phase === 'closing' && this.shareAt(now) === 1;
  }

  /** Counts a request that is sent; `isFirst` for its first attempt. */
  recordSent(version: string | undefined, isFirst: boolean): void {
    if (version === this.placed.to) this.sent.to++;
    if (isFirst) this.sent.all++;
  }

  /** Counts how an attempt has ended, unless it was counted as overdue. */
  recordResult(attempt: RunningAttempt, result: AttemptResult): void {
    if (attempt.isCounted || this.end) return;
    attempt.isCounted = true;
    this.counter.add(result);
    if (attempt.version !== this.placed.to) return;
    this.isUnchecked = true;
    if (result.isFailure) this.stopIfBad();
  }

  /** Returns what to report; `running` are the service's attempts in progress. */
  report(running: Iterable<RunningAttempt>, now: number): RolloutReport {
    let others = 0;
    for (const attempt of running) {
      if (attempt.version !== this.placed.to) others++;
      this.countIfOverdue(attempt, now);
    }
    this.stopIfBad();
    this.windows.update(this.counter.evidence, now);
    const isConfirmable =
      this.permittedUntil - now > this.permission * CONFIRMABLE_SHARE &&
      !this.isStopped;
    return {
      order: this.placed,
      stamp: now,
      knownFor: Math.max(now - this.knownAt, 0),
      phase: this.end ?? (isConfirmable ? this.phase : undefined),
      sent: {...this.sent},
      others,
      isStopped: this.isStopped,
      evidence: [...this.counter.evidence],
    };
  }

  private countIfOverdue(attempt: RunningAttempt, now: number): void {
    const {route, group, target, sentAt} = attempt;
    const age = now - sentAt;
    if (attempt.isCounted || age < target * OVERDUE_TARGETS) return;
    if (attempt.hasBegun()) return;
    const first = age / target;
    this.recordResult(attempt, {route, group, isFailure: false, first});
  }

  /** A host that sees a fault itself stops at once. */
  private stopIfBad(): void {
    if (this.isStopped || !this.isUnchecked) return;
    this.isUnchecked = false;
    const {evidence} = this.counter;
    const windows = this.windows.of(evidence);
    const fault =
      findFault(evidence, windows) ??
      findFault(this.windows.recent(evidence), [evidence, ...windows]);
    if (fault) this.isStopped = true;
  }
}
