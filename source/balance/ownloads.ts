/**
 * What this host itself has at the endpoints, by the tier of its requests: how
 * many, and the prefill that they wait for. A host’s limits on both count, for a
 * request, only what is as urgent as itself or more, so that less urgent requests
 * never keep an urgent one waiting. Endpoints admit the most urgent first.
 */
import type {EligibleSet} from './eligibleset.js';

/** Most of the prefill at one endpoint that counts towards the host's limit. */
const MAX_COUNTED_PREFILL_MILLISECONDS = 160;
/** Time after the last send to an endpoint for which its prefill counts. */
const MAX_COUNTED_WAIT_MILLISECONDS = 1_000;

/** What this host has at some endpoints. */
interface OwnLoad {
  readonly requests: number;
  /** Prefill that these wait for. */
  readonly prefillMilliseconds: number;
}

/** A request that is sent, as it counts at its endpoint. */
export interface SentRequest {
  /** Priority tier; 0 is served first. */
  readonly tier: number;
  /** The prefill that it adds. */
  readonly prefillMilliseconds: number;
}

/** The load that counts for a request of a tier. */
export interface CountedLoad extends OwnLoad {
  /** How many of the requests are more urgent. */
  readonly moreUrgentRequests: number;
}

interface EndpointShare {
  /** What this host has there, by tier. */
  readonly byTier: Map<number, OwnLoad>;
  /** Monotonic milliseconds of the last send. */
  sentAt: number;
}

const NOTHING: OwnLoad = {requests: 0, prefillMilliseconds: 0};

/** This host’s own requests at the endpoints, by endpoint id. */
export class OwnLoads {
  /** The endpoints at which this host has requests. */
  private readonly shares = new Map<string, EndpointShare>();

  /** Records a request that is sent to an endpoint. */
  recordSend(id: string, request: SentRequest, now: number): void {
    const share = this.shares.get(id) ?? {byTier: new Map(), sentAt: now};
    share.sentAt = now;
    this.shares.set(id, share);
    this.add(share, request.tier, {
      requests: 1,
      prefillMilliseconds: request.prefillMilliseconds,
    });
  }

  /** Records that the prefill of a request has ended. */
  recordPrefilled(id: string, request: SentRequest): void {
    const share = this.shares.get(id);
    const prefillMilliseconds = -request.prefillMilliseconds;
    if (share)
      this.add(share, request.tier, {requests: 0, prefillMilliseconds});
  }

  /** Records that a request, whose prefill has ended, has left its endpoint. */
  recordEnd(id: string, {tier}: SentRequest): void {
    const share = this.shares.get(id);
    if (!share) return;
    this.add(share, tier, {requests: -1, prefillMilliseconds: 0});
    if (share.byTier.size === 0) this.shares.delete(id);
  }

  /** Discards what is known of an endpoint that has left or restarted. */
  remove(id: string): void {
    this.shares.delete(id);
  }

  /**
   * The load at the endpoints of a set of requests up to a tier. Of one endpoint
   * only so much prefill counts, and none where the last request has waited for
   * long: a slow endpoint must not keep requests from the others.
   *
   * ```ts
   * const {requests} = ownLoads.upToTier(3, eligible, clock.monotonic());
   * ```
   */
  upToTier(tier: number, set: EligibleSet, now: number): CountedLoad {
    let requests = 0;
    let moreUrgentRequests = 0;
    let prefillMilliseconds = 0;
    for (const [id, share] of this.shares) {
      if (!set.has(id)) continue;
      const load = sumUpToTier(share, tier);
      requests += load.requests;
      moreUrgentRequests += load.moreUrgentRequests;
      if (now - share.sentAt > MAX_COUNTED_WAIT_MILLISECONDS) continue;
      prefillMilliseconds += Math.min(
        load.prefillMilliseconds,
        MAX_COUNTED_PREFILL_MILLISECONDS,
      );
    }
    return {requests, prefillMilliseconds, moreUrgentRequests};
  }

  private add({byTier}: EndpointShare, tier: number, change: OwnLoad): void {
    const before = byTier.get(tier) ?? NOTHING;
    const requests = before.requests + change.requests;
    const prefill = before.prefillMilliseconds + change.prefillMilliseconds;
    if (requests <= 0) byTier.delete(tier);
    else
      byTier.set(tier, {requests, prefillMilliseconds: Math.max(prefill, 0)});
  }
}

function sumUpToTier({byTier}: EndpointShare, tier: number): CountedLoad {
  let requests = 0;
  let moreUrgentRequests = 0;
  let prefillMilliseconds = 0;
  for (const [of, load] of byTier) {
    if (of > tier) continue;
    requests += load.requests;
    if (of < tier) moreUrgentRequests += load.requests;
    prefillMilliseconds += load.prefillMilliseconds;
  }
  return {requests, prefillMilliseconds, moreUrgentRequests};
}
