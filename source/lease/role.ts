/**
 * The part that one host plays for one lease. A holder counts its time from
 * before it sent the record that it has read back, and a successor claims only
 * after it has itself watched the latest record go unrenewed for the whole
 * time and a margin, while its reads of the log were answered. Only monotonic
 * clocks count, each on its own host.
 */
import {leaseChart} from '../charts/index.js';
import type {LeaseRecord, LeaseStanding} from './standing.js';

/** Milliseconds for which a record lets its holder act. */
export const LEASE_MILLISECONDS = 6_000;
/** Milliseconds by which two hosts' clocks may drift apart over a lease. */
const DRIFT_MILLISECONDS = 500;
/** Longest flight of an order, in milliseconds; a holder stops that much early. */
const FLIGHT_MILLISECONDS = 1_000;
const RENEW_MILLISECONDS = 2_000;
/** A claim that has not been read back after so many milliseconds is given up. */
const CLAIM_MILLISECONDS = 2_000;

/** Sent records that a host remembers; an older one lets it hold nothing. */
const SENT_MOST = 16;

/** An append that has not been read back. */
interface Sent {
  readonly token: number;
  /** Monotonic milliseconds, read before the append was sent. */
  readonly at: number;
}

/** What a host knows and does about one lease. */
export interface LeaseRole {
  readonly lease: string;
  readonly self: string;
  /** A state of charts/lease.json. */
  readonly state: string;
  readonly standing: LeaseStanding | undefined;
  /** Monotonic milliseconds at which the standing was first seen. */
  readonly seenAt: number;
  /** Monotonic milliseconds until which this host holds the lease. */
  readonly heldUntil: number;
  /** Monotonic milliseconds from which no order of a predecessor is in flight. */
  readonly actsFrom: number;
  /** Records that may yet turn up in the log, the newest last. */
  readonly sent: readonly Sent[];
  readonly nextToken: number;
  /** Milliseconds that this host leaves to those which come before it. */
  readonly patience: number;
}

/** What can happen to a role. */
export type LeaseEvent =
  /** The log's standing, as folded; `standing` is undefined where there is none. */
  | {
      readonly kind: 'read';
      readonly standing: LeaseStanding | undefined;
      readonly now: number;
    }
  /** Time passes; the end of the log was last seen by a read asked at `readAt`. */
  | {readonly kind: 'tick'; readonly now: number; readonly readAt: number}
  /** The host gives the lease up. */
  | {readonly kind: 'leave'; readonly now: number};

/** A role after an event, with the record to append, if there is one. */
export interface RoleUpdate {
  readonly role: LeaseRole;
  readonly append: LeaseRecord | undefined;
}

/** The role of a host that has only begun to watch a lease. */
export function following(
  lease: string,
  self: string,
  now: number,
  patience: number,
): LeaseRole {
  return {
    lease,
    self,
    state: leaseChart.initial,
    standing: undefined,
    seenAt: now,
    heldUntil: -Infinity,
    actsFrom: Infinity,
    sent: [],
    nextToken: 1,
    patience,
  };
}

/**
 * Whether an order may be sent now. To be asked in the same turn as the write.
 *
 * ```ts
 * if (mayAct(role, clock.monotonic())) socket.write(order);
 * ```
 */
export function mayAct(role: LeaseRole, now: number): boolean {
  const {state, actsFrom, heldUntil} = role;
  const inTime = now >= actsFrom && now < heldUntil - FLIGHT_MILLISECONDS;
  return state === 'holding' && inTime;
}

/**
 * The role after an event.
 *
 * ```ts
 * const {role, append} = updateRole(before, {kind: 'tick', now, readAt});
 * ```
 */
export function updateRole(before: LeaseRole, event: LeaseEvent): RoleUpdate {
  switch (event.kind) {
    case 'read':
      return {
        role: afterRead(before, event.standing, event.now),
        append: undefined,
      };
    case 'tick':
      return afterTick(before, event.now, event.readAt);
    case 'leave':
      return afterLeave(before, event.now);
  }
}

function moved(role: LeaseRole, event: string): LeaseRole {
  return {...role, state: leaseChart.next(role.state, event)};
}

function afterRead(
  before: LeaseRole,
  standing: LeaseStanding | undefined,
  now: number,
): LeaseRole {
  if (standing?.offset === before.standing?.offset) return before;
  const role = {...before, standing, seenAt: now};
  if (standing?.holder !== role.self) return lost(role);
  if (standing.released) return lost(role);
  const mine = role.sent.find(({token}) => token === standing.token);
  if (!mine || role.state === 'following') return lost(role);
  const held = {...role, heldUntil: mine.at + standing.duration};
  if (role.state !== 'claiming') return held;
  return moved({...held, actsFrom: now + FLIGHT_MILLISECONDS}, 'win');
}

function lost(role: LeaseRole): LeaseRole {
  const without = {...role, heldUntil: -Infinity};
  return role.state === 'following' ? without : moved(without, 'lose');
}

function afterTick(before: LeaseRole, now: number, readAt: number): RoleUpdate {
  const role = afterTimeouts(before, now);
  if (role.state === 'holding') return renew(role, now);
  if (role.state !== 'following' || !isVacant(role, readAt)) {
    return {role, append: undefined};
  }
  return send(moved(role, 'claim'), 'claim', now);
}

function afterTimeouts(role: LeaseRole, now: number): LeaseRole {
  const holds = role.state === 'holding' || role.state === 'releasing';
  if (holds && now >= role.heldUntil) {
    // The time that this host lets pass as a follower starts anew.
    return {...moved(role, 'expire'), heldUntil: -Infinity, seenAt: now};
  }
  const late = now - lastSentAt(role) >= CLAIM_MILLISECONDS;
  if (role.state === 'claiming' && late) {
    return {...moved(role, 'lose'), seenAt: now};
  }
  return role;
}

function lastSentAt({sent}: LeaseRole): number {
  return sent.at(-1)?.at ?? -Infinity;
}

/** Whether the latest record was seen to lapse by a read that came after. */
function isVacant(
  {standing, seenAt, patience}: LeaseRole,
  readAt: number,
): boolean {
  const free = standing === undefined || standing.released;
  const wait = free ? 0 : standing.duration + DRIFT_MILLISECONDS;
  return readAt >= seenAt + wait + patience;
}

function renew(role: LeaseRole, now: number): RoleUpdate {
  if (now - lastSentAt(role) < RENEW_MILLISECONDS) {
    return {role, append: undefined};
  }
  return send(role, 'renew', now);
}

function afterLeave(before: LeaseRole, now: number): RoleUpdate {
  const role = afterTimeouts(before, now);
  if (role.state !== 'holding') return {role, append: undefined};
  return send(moved(role, 'release'), 'release', now);
}

function send(
  role: LeaseRole,
  action: LeaseRecord['action'],
  now: number,
): RoleUpdate {
  const {lease, self, standing, nextToken: token} = role;
  const sent = [...role.sent, {token, at: now}].slice(-SENT_MOST);
  return {
    role: {...role, sent, nextToken: token + 1},
    append: {
      kind: 'lease',
      lease,
      holder: self,
      action,
      follows: standing?.offset ?? -1,
      token,
      duration: LEASE_MILLISECONDS,
    },
  };
}
