/**
 * Reserves slots at endpoints for requests, and records what becomes of the
 * requests there.
 */
import type {Clock} from '../clock/index.js';
import type {KnownEndpoint} from '../directory/index.js';
import type {Choice} from './choose.js';
import type {EligibleEndpoints} from './eligible.js';
import type {EndpointLoads} from './endpointloads.js';
import type {LoadEvent} from './load.js';
import type {NamedLimits} from './namedlimits.js';
import type {OwnLoads} from './ownloads.js';
import type {Reservation} from './reservation.js';
import type {WithheldEndpoints} from './withheld.js';

/** What a host knows of the endpoints, which reservations change. */
export interface SlotReserverOptions {
  readonly endpoints: EligibleEndpoints;
  readonly loads: EndpointLoads;
  readonly ownLoads: OwnLoads;
  readonly limits: NamedLimits;
  readonly withheld: WithheldEndpoints;
  readonly clock: Clock;
}

/** Reserves the slots of one host. */
export class SlotReserver {
  constructor(private readonly options: SlotReserverOptions) {}

  /**
   * Reserves a slot at an endpoint that has been chosen for a request of a tier.
   * `now` is in monotonic milliseconds.
   *
   * ```ts
   * const reservation = reserver.reserve(endpoint, choice, {tier: 1, now});
   * try { await send(endpoint); } finally { reservation.release(); }
   * ```
   */
  reserve(
    endpoint: KnownEndpoint,
    choice: Choice,
    {tier, now}: {tier: number; now: number},
  ): Reservation {
    const {endpoints, ownLoads, limits, withheld} = this.options;
    const {id, prefillMilliseconds} = choice;
    const sent = {tier, prefillMilliseconds};
    endpoints.recordSend(endpoint, now);
    ownLoads.recordSend(id, sent, now);
    this.recordEvent(id, {kind: 'sent', prefillMilliseconds});
    let isPrefillPending = true;
    let isHeld = true;
    const endPrefill = () => {
      if (!isPrefillPending) return;
      isPrefillPending = false;
      ownLoads.recordPrefilled(id, sent);
      this.recordEvent(id, {kind: 'prefilled', prefillMilliseconds});
    };
    return {
      endpoint,
      choice,
      isEndpointUsable: () => endpoints.isStillUsable(endpoint, this.now()),
      answered: reportedLoad => {
        endPrefill();
        this.recordEvent(id, {
          kind: 'answered',
          reportedLoad,
          now: this.now(),
        });
      },
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
        ownLoads.recordEnd(id, sent);
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
