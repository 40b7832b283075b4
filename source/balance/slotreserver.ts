/**
 * Reserves slots at endpoints for requests, and records what becomes of the
 * requests there.
 */
import type {Clock} from '../clock/index.js';
import type {KnownEndpoint} from '../directory/index.js';
import type {SentPrompt, ServiceRates} from '../servicerates/index.js';
import type {Choice} from './choose.js';
import type {EligibleEndpoints} from './eligible.js';
import type {EndpointLoads} from './endpointloads.js';
import type {LoadEvent} from './load.js';
import type {NamedLimits} from './namedlimits.js';
import type {OwnLoads} from './ownloads.js';
import type {PrefixCacheIndex} from './prefixcache.js';
import {sharedParts, type Prompt} from './prompt.js';
import type {Reservation} from './reservation.js';
import type {WithheldEndpoints} from './withheld.js';

/** What a host knows of the endpoints, which reservations change. */
export interface SlotReserverOptions {
  readonly endpoints: EligibleEndpoints;
  readonly loads: EndpointLoads;
  readonly ownLoads: OwnLoads;
  readonly limits: NamedLimits;
  readonly withheld: WithheldEndpoints;
  readonly rates: ServiceRates;
  readonly clock: Clock;
}

/** What a prompt is expected to ask of an engine. */
type ExpectedPrompt = Omit<SentPrompt, 'queuedMilliseconds'>;

/** The request that a slot is reserved for. */
export interface ReservingRequest {
  /** Priority tier; 0 is served first. */
  readonly tier: number;
  /** Absent for a request without a prompt. */
  readonly sent?: ExpectedPrompt | undefined;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/** What a prompt asks of an engine that is believed to cache parts of it. */
export function sentPrompt(
  prompt: Prompt,
  prefixCache: PrefixCacheIndex,
  engine: string,
  now: number,
): ExpectedPrompt {
  const cachedTokens = prefixCache.tokens(sharedParts(prompt), engine, now);
  const uncachedTokens = prompt.tokens - cachedTokens;
  return {uncachedTokens, outputTokens: prompt.output};
}

/** Reserves the slots of one host. */
export class SlotReserver {
  constructor(private readonly options: SlotReserverOptions) {}

  /**
   * Reserves a slot at an endpoint that has been chosen for a request.
   *
   * ```ts
   * const reservation = reserver.reserve(endpoint, choice, {tier: 1, now});
   * try { await send(endpoint); } finally { reservation.release(); }
   * ```
   */
  reserve(
    endpoint: KnownEndpoint,
    choice: Choice,
    {tier, sent: prompt, now}: ReservingRequest,
  ): Reservation {
    const {endpoints, ownLoads, limits, withheld, rates} = this.options;
    const {id, prefillMilliseconds} = choice;
    const own = {tier, prefillMilliseconds};
    endpoints.recordSend(endpoint, now);
    ownLoads.recordSend(id, own, now);
    this.recordEvent(id, {kind: 'sent', prefillMilliseconds});
    const queuedMilliseconds = choice.waitMilliseconds - prefillMilliseconds;
    const answer = rates.observe(
      {
        endpoint: id,
        service: endpoint.entry.service,
        slots: endpoint.entry.slots,
        expectedRequests: choice.expectedRequests,
        ...(prompt && {prompt: {...prompt, queuedMilliseconds}}),
      },
      now,
    );
    let isPrefillPending = true;
    let isHeld = true;
    const endPrefill = () => {
      if (!isPrefillPending) return;
      isPrefillPending = false;
      ownLoads.recordPrefilled(id, own);
      this.recordEvent(id, {kind: 'prefilled', prefillMilliseconds});
    };
    return {
      endpoint,
      choice,
      isEndpointUsable: () => endpoints.isStillUsable(endpoint, this.now()),
      answered: (reportedLoad, isSuccess = true) => {
        endPrefill();
        answer.answered(reportedLoad, isSuccess, this.now());
        this.recordEvent(id, {
          kind: 'answered',
          reportedLoad,
          now: this.now(),
        });
      },
      loadMalformed: text => rates.recordMalformed(id, text),
      streamed: (events, isContinuous) =>
        answer.streamed(events, isContinuous, this.now()),
      streamCompleted: () => answer.completed(this.now()),
      limited: rate => {
        if (endpoints.directory.has(id)) limits.recordOwn(id, rate, this.now());
      },
      leaving: () => withheld.recordLeaving(endpoint.entry),
      backoff: duration =>
        withheld.recordBackoff(endpoint.entry, duration, this.now()),
      failed: () => this.recordEvent(id, {kind: 'failed', now: this.now()}),
      unreachable: () =>
        this.recordEvent(id, {kind: 'unreachable', now: this.now()}),
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        endPrefill();
        ownLoads.recordEnd(id, own);
        this.recordEvent(id, {kind: 'ended'});
      },
    };
  }

  /** Records what has happened at an endpoint; nothing if it is not known. */
  recordEvent(id: string, event: LoadEvent): void {
    const {endpoints, loads} = this.options;
    if (endpoints.directory.has(id)) loads.apply(id, event);
  }

  private now(): number {
    return this.options.clock.monotonic();
  }
}
