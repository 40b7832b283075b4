/**
 * What the hosts know of endpoints together. Two hosts poll each endpoint and
 * tell the others when something changed, since polling by all would cost the
 * whole budget; what an answer says of its endpoint is told at once, since it
 * is ahead of every report.
 */
import type {Clock} from '../clock/index.js';
import type {EndpointAdapter, LoadReport} from '../engine/index.js';
import type {Message} from '../messages/index.js';
import type {Metrics} from '../metrics/index.js';
import type {EndpointState, EndpointTable} from '../placement/index.js';
import type {Membership} from './membership.js';

/** Hosts that poll an endpoint. */
const POLLERS = 2;
/** Milliseconds after which a state that did not change is told again. */
const REFRESH_MILLISECONDS = 5_000;

/** Milliseconds for which a host passes on what it has seen. */
const FRESH_MILLISECONDS = 3_000;
/** Milliseconds that a message or the head of an answer may be on its way. */
const FLIGHT_MILLISECONDS = 1_000;

type State = LoadReport['state'];

/** How careful a state makes the hosts; news of a lesser one must be newer. */
const GUARD: Readonly<Record<State, number>> = {warm: 0, cold: 1, leaving: 2};

interface Load {
  /** Requests that it said it runs. */
  readonly running: number;
  /** Own monotonic milliseconds at which it was asked. */
  readonly askedAt: number;
}

const NO_LOAD: Load = {running: 0, askedAt: -Infinity};

/** What is known of an endpoint. */
export interface Sighting extends Load {
  readonly state: State;
  /** Own monotonic milliseconds since which it has been in the state. */
  readonly since: number;
}

/** What a watch is made from. */
export interface EndpointWatchOptions {
  readonly clock: Clock;
  readonly adapter: EndpointAdapter;
  readonly endpoints: EndpointTable;
  readonly membership: Membership;
  readonly metrics: Metrics;
  readonly broadcast: (message: Message) => void;
  /** Whether this host answers for the cold endpoints of a zone. */
  readonly guards: (zone: string) => boolean;
  /** Called when what is known of an endpoint has changed. */
  readonly changed: () => void;
}

/** What a host sees of endpoints, itself and through others. */
export class EndpointWatch {
  private readonly sightings = new Map<string, Sighting>();
  private readonly toldAt = new Map<string, number>();
  private readonly asking = new Set<string>();

  constructor(private readonly options: EndpointWatchOptions) {}

  /** Asks the endpoints that fall to this host for their load. */
  poll(): void {
    for (const known of this.options.endpoints.list()) {
      if (this.pollsFor(known)) void this.ask(known);
    }
  }

  /** What is known of an endpoint. */
  sighting(endpoint: string): Sighting | undefined {
    return this.sightings.get(endpoint);
  }

  /** Notes what an answer said of its endpoint. */
  noteAnswer(endpoint: string, state: State): void {
    const before = this.sightings.get(endpoint);
    if (before?.state === state) return;
    const seenAt = this.options.clock.monotonic() - FLIGHT_MILLISECONDS;
    if (!this.note(endpoint, state, seenAt)) return;
    this.options.metrics.count('endpoint-turned', {endpoint, state});
    this.options.broadcast({kind: 'endpoint-state', endpoint, state});
  }

  /** Notes what another host has told. */
  noteMessage({endpoint, state}: EndpointTold): void {
    const age = FRESH_MILLISECONDS + FLIGHT_MILLISECONDS;
    this.note(endpoint, state, this.options.clock.monotonic() - age);
  }

  /**
   * What a host should be told that has just come in reach: what this one has
   * itself seen of late, since hearsay may be older than what the other knows.
   */
  messages(): Message[] {
    const since = this.options.clock.monotonic() - FRESH_MILLISECONDS;
    const fresh = [...this.sightings].filter(
      ([, {askedAt}]) => askedAt >= since,
    );
    return fresh.map(([endpoint, {state}]) => ({
      kind: 'endpoint-state',
      endpoint,
      state,
    }));
  }

  private pollsFor({endpoint, warm}: EndpointState): boolean {
    const {membership, guards} = this.options;
    const rank = membership.rank(endpoint.zone, endpoint.name);
    if (rank >= 0 && rank < POLLERS) return true;
    return !warm && guards(endpoint.zone);
  }

  private async ask({endpoint}: EndpointState): Promise<void> {
    const {clock, adapter, endpoints} = this.options;
    const {name} = endpoint;
    if (this.asking.has(name)) return;
    this.asking.add(name);
    const askedAt = clock.monotonic();
    try {
      const {state, running} = await adapter.load(endpoint);
      if (this.note(name, state, askedAt, {running, askedAt})) {
        this.tell(name, askedAt);
      }
    } catch {
      endpoints.update(name, {kind: 'failed', now: clock.monotonic()});
    } finally {
      this.asking.delete(name);
    }
  }

  /**
   * Takes over a state that was seen at `seenAt` at the earliest; answers
   * whether it counts. Reports overtake each other, so one that may be older
   * than a leave or a turn to cold does not undo it.
   */
  private note(
    endpoint: string,
    state: State,
    seenAt: number,
    load?: Load,
  ): boolean {
    const before = this.sightings.get(endpoint);
    const undone = before && GUARD[state] < GUARD[before.state];
    if (undone && seenAt < before.since) return false;
    const same = before?.state === state;
    const since = same ? before.since : this.options.clock.monotonic();
    const latest = load ?? before ?? NO_LOAD;
    const {running, askedAt} = latest;
    this.sightings.set(endpoint, {state, since, running, askedAt});
    this.options.endpoints.update(endpoint, {kind: 'reported', state});
    if (!same) {
      this.toldAt.delete(endpoint);
      this.options.changed();
    }
    return true;
  }

  private tell(endpoint: string, now: number): void {
    const told = this.toldAt.get(endpoint) ?? -Infinity;
    const sighting = this.sightings.get(endpoint);
    if (!sighting || now - told < REFRESH_MILLISECONDS) return;
    this.toldAt.set(endpoint, now);
    const {state} = sighting;
    this.options.broadcast({kind: 'endpoint-state', endpoint, state});
  }
}

type EndpointTold = Extract<Message, {kind: 'endpoint-state'}>;
