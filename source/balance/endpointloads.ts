/**
 * The loads of all endpoints of a host, with the few that most questions are
 * about: those at which this host has requests, and those that it cannot reach.
 */
import type {EligibleSet} from './eligibleset.js';
import {
  applyLoadEvent,
  INITIAL_LOAD,
  type EndpointLoad,
  type LoadEvent,
} from './load.js';

/** Most of the prefill at one endpoint that counts towards the host's limit. */
const MAX_COUNTED_PREFILL_MILLISECONDS = 160;
/** Time after the last send to an endpoint for which its prefill counts. */
const MAX_COUNTED_WAIT_MILLISECONDS = 1_000;

/** What this host has at some endpoints. */
export interface OwnLoad {
  readonly requests: number;
  /** Prefill that these wait for. */
  readonly prefillMilliseconds: number;
}

/** The loads of the endpoints, by id. */
export class EndpointLoads {
  private readonly loads = new Map<string, EndpointLoad>();
  /** The endpoints at which this host has requests. */
  private readonly busyIds = new Set<string>();
  private readonly unreachable = new Set<string>();
  /** Monotonic milliseconds of the last send, by endpoint. */
  private readonly sentAt = new Map<string, number>();

  /** `onEjectionChange` is called when the end of an ejection has changed. */
  constructor(private readonly onEjectionChange: () => void) {}

  /** The endpoints that this host cannot reach. */
  get unreachableIds(): ReadonlySet<string> {
    return this.unreachable;
  }

  get(id: string): EndpointLoad {
    return this.loads.get(id) ?? INITIAL_LOAD;
  }

  /** Those of which anything is known. */
  entries(): Iterable<[string, EndpointLoad]> {
    return this.loads;
  }

  /** Applies what has happened at an endpoint. */
  apply(id: string, event: LoadEvent): void {
    const before = this.get(id);
    const after = applyLoadEvent(before, event);
    this.loads.set(id, after);
    if (after.ejectedUntil !== before.ejectedUntil) this.onEjectionChange();
    if (after.ownRequests !== before.ownRequests)
      setMembership(this.busyIds, id, after.ownRequests > 0);
    if (after.isUnreachable !== before.isUnreachable)
      setMembership(this.unreachable, id, after.isUnreachable);
  }

  /** Discards what is known of an endpoint that has left or restarted. */
  remove(id: string): void {
    this.loads.delete(id);
    this.sentAt.delete(id);
    this.busyIds.delete(id);
    this.unreachable.delete(id);
  }

  /** Records when this host has sent a request to an endpoint. */
  recordSend(id: string, now: number): void {
    this.sentAt.set(id, now);
  }

  /**
   * The load that this host itself puts on the endpoints of a set. Of one
   * endpoint only so much prefill counts, and none where the last request has
   * waited for long: a slow endpoint must not keep requests from the others.
   */
  ownLoad(set: EligibleSet, now: number): OwnLoad {
    let requests = 0;
    let prefillMilliseconds = 0;
    for (const id of this.busyIds) {
      if (!set.has(id)) continue;
      const load = this.get(id);
      requests += load.ownRequests;
      const waited = now - (this.sentAt.get(id) ?? now);
      if (waited > MAX_COUNTED_WAIT_MILLISECONDS) continue;
      prefillMilliseconds += Math.min(
        load.ownPrefillMilliseconds,
        MAX_COUNTED_PREFILL_MILLISECONDS,
      );
    }
    return {requests, prefillMilliseconds};
  }
}

function setMembership(ids: Set<string>, id: string, isMember: boolean): void {
  if (isMember) ids.add(id);
  else ids.delete(id);
}
