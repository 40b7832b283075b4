/**
 * The role of one host for one lease, as an immutable value. A holder counts the
 * duration of its lease from before it sent the record that it has read back. A
 * successor claims the lease only after it has itself seen no renewal of the
 * latest record for the complete duration and a margin, while its reads of the
 * log succeeded. Each host uses only its own monotonic clock.
 */
import {leaseChart} from '../charts/index.js';
import type {LeaseRecord, LeaseStatus} from './status.js';

/** Time for which a record lets its holder hold the lease. */
export const LEASE_DURATION_MILLISECONDS = 6_000;
/** Largest drift between the clocks of two hosts over the duration of a lease. */
const MAX_CLOCK_DRIFT_MILLISECONDS = 500;
/**
 * Longest time between sending a call and its arrival. A holder stops acting this
 * long before its lease expires.
 */
const MAX_CALL_DELAY_MILLISECONDS = 1_000;
/** Time between two records of a holder. */
const RENEWAL_INTERVAL_MILLISECONDS = 2_000;
/** Time after which a host gives up a claim that it has not read back. */
const CLAIM_TIMEOUT_MILLISECONDS = 2_000;

/**
 * Sent records that a host remembers. Reading back an older one does not make it
 * the holder.
 */
const MAX_REMEMBERED_APPENDS = 16;

/** An append that may still appear in the log. */
interface SentAppend {
  readonly token: number;
  /** Monotonic milliseconds, read before the append was sent. */
  readonly at: number;
}

/** What a host knows about one lease, and its own state for it. */
export interface LeaseRole {
  readonly lease: string;
  /** The name that this host uses as holder. */
  readonly self: string;
  /** A state of the chart in charts/lease.json. */
  readonly state: string;
  /** The status of the lease in the log, undefined before its first record. */
  readonly status: LeaseStatus | undefined;
  /**
   * Monotonic milliseconds from which the wait before a claim counts: when this
   * status was first read or, if later, when this host's lease expired or its
   * claim timed out.
   */
  readonly seenAt: number;
  /** Monotonic milliseconds until which this host holds the lease. */
  readonly heldUntil: number;
  /**
   * Monotonic milliseconds from which no call of a previous holder can still be
   * on its way.
   */
  readonly actsFrom: number;
  /** The latest appends, which may still appear in the log; the newest last. */
  readonly sent: readonly SentAppend[];
  /** Token of the next record; each record of this host has its own. */
  readonly nextToken: number;
  /**
   * Milliseconds by which this host delays a claim, so that hosts with a shorter
   * delay go first.
   */
  readonly claimDelay: number;
}

/** An event that may change a role. `now` is in monotonic milliseconds. */
export type LeaseEvent =
  /** The log was read; `status` is undefined if the lease has no record. */
  | {
      readonly kind: 'read';
      readonly status: LeaseStatus | undefined;
      readonly now: number;
    }
  /**
   * Time has passed. `readAt` is when the latest read that reached the end of the
   * log was sent, in monotonic milliseconds.
   */
  | {readonly kind: 'tick'; readonly now: number; readonly readAt: number}
  /** The host releases the lease. */
  | {readonly kind: 'leave'; readonly now: number};

/** A role after an event, and the record to append to the log, if any. */
export interface RoleUpdate {
  readonly role: LeaseRole;
  readonly append: LeaseRecord | undefined;
}

/**
 * Returns the role of a host that starts to follow a lease. `claimDelay` is in
 * milliseconds.
 */
export function initialLeaseRole(
  lease: string,
  self: string,
  now: number,
  claimDelay: number,
): LeaseRole {
  return {
    lease,
    self,
    state: leaseChart.initial,
    status: undefined,
    seenAt: now,
    heldUntil: -Infinity,
    actsFrom: Infinity,
    sent: [],
    nextToken: 1,
    claimDelay,
  };
}

/**
 * Whether a call may be sent now. Must be checked in the same turn of the event
 * loop as the write to the socket.
 *
 * ```ts
 * if (mayAct(role, clock.monotonic())) socket.write(call);
 * ```
 */
export function mayAct(role: LeaseRole, now: number): boolean {
  const {state, actsFrom, heldUntil} = role;
  const isWithinTime =
    now >= actsFrom && now < heldUntil - MAX_CALL_DELAY_MILLISECONDS;
  return state === 'holding' && isWithinTime;
}

/**
 * Returns the role after an event. The caller appends the record, if there is one.
 *
 * ```ts
 * const {role, append} = updateRole(before, {kind: 'tick', now, readAt});
 * ```
 */
export function updateRole(before: LeaseRole, event: LeaseEvent): RoleUpdate {
  switch (event.kind) {
    case 'read':
      return {
        role: applyRead(before, event.status, event.now),
        append: undefined,
      };
    case 'tick':
      return applyTick(before, event.now, event.readAt);
    case 'leave':
      return applyLeave(before, event.now);
  }
}

function transition(role: LeaseRole, event: string): LeaseRole {
  return {...role, state: leaseChart.next(role.state, event)};
}

/**
 * Applies a status read from the log. The host wins or keeps the lease only if
 * the latest record is one that it remembers sending, and it is not `following`.
 */
function applyRead(
  before: LeaseRole,
  status: LeaseStatus | undefined,
  now: number,
): LeaseRole {
  if (status?.offset === before.status?.offset) return before;
  const role = {...before, status, seenAt: now};
  if (status?.holder !== role.self) return loseLease(role);
  if (status.released) return loseLease(role);
  const ownAppend = role.sent.find(({token}) => token === status.token);
  if (!ownAppend || role.state === 'following') return loseLease(role);
  const held = {...role, heldUntil: ownAppend.at + status.duration};
  if (role.state !== 'claiming') return held;
  return transition(
    {...held, actsFrom: now + MAX_CALL_DELAY_MILLISECONDS},
    'win',
  );
}

/** Returns the role without the lease, in the state `following`. */
function loseLease(role: LeaseRole): LeaseRole {
  const notHeld = {...role, heldUntil: -Infinity};
  return role.state === 'following' ? notHeld : transition(notHeld, 'lose');
}

function applyTick(before: LeaseRole, now: number, readAt: number): RoleUpdate {
  const role = applyTimeouts(before, now);
  if (role.state === 'holding') return renew(role, now);
  if (role.state !== 'following' || !isClaimable(role, readAt)) {
    return {role, append: undefined};
  }
  return withAppend(transition(role, 'claim'), 'claim', now);
}

/** Returns the role after a lease that has expired, or a claim that timed out. */
function applyTimeouts(role: LeaseRole, now: number): LeaseRole {
  const holdsLease = role.state === 'holding' || role.state === 'releasing';
  if (holdsLease && now >= role.heldUntil) {
    // As a follower, this host waits again before it claims.
    return {...transition(role, 'expire'), heldUntil: -Infinity, seenAt: now};
  }
  const hasClaimTimedOut = now - lastSentAt(role) >= CLAIM_TIMEOUT_MILLISECONDS;
  if (role.state === 'claiming' && hasClaimTimedOut) {
    return {...transition(role, 'lose'), seenAt: now};
  }
  return role;
}

/** Returns when the latest append was sent, -Infinity if there was none. */
function lastSentAt({sent}: LeaseRole): number {
  return sent.at(-1)?.at ?? -Infinity;
}

/**
 * Whether this host may claim the lease: a read that was sent after the latest
 * record expired, and after the claim delay, has still found no newer record.
 */
function isClaimable(
  {status, seenAt, claimDelay}: LeaseRole,
  readAt: number,
): boolean {
  const isFree = status === undefined || status.released;
  const expiryDelay = isFree
    ? 0
    : status.duration + MAX_CLOCK_DRIFT_MILLISECONDS;
  return readAt >= seenAt + expiryDelay + claimDelay;
}

function renew(role: LeaseRole, now: number): RoleUpdate {
  if (now - lastSentAt(role) < RENEWAL_INTERVAL_MILLISECONDS) {
    return {role, append: undefined};
  }
  return withAppend(role, 'renew', now);
}

function applyLeave(before: LeaseRole, now: number): RoleUpdate {
  const role = applyTimeouts(before, now);
  if (role.state !== 'holding') return {role, append: undefined};
  return withAppend(transition(role, 'release'), 'release', now);
}

/** Returns the role with a record to append. */
function withAppend(
  role: LeaseRole,
  action: LeaseRecord['action'],
  now: number,
): RoleUpdate {
  const {lease, self, status, nextToken: token} = role;
  const sent = [...role.sent, {token, at: now}].slice(-MAX_REMEMBERED_APPENDS);
  return {
    role: {...role, sent, nextToken: token + 1},
    append: {
      kind: 'lease',
      lease,
      holder: self,
      action,
      follows: status?.offset ?? -1,
      token,
      duration: LEASE_DURATION_MILLISECONDS,
    },
  };
}
