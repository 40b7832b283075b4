/**
 * Monitors the state of endpoints together with the other hosts. Two hosts poll
 * each endpoint and broadcast changes, since polling by every host would use up
 * the whole budget. A state that comes with the response to a request is
 * broadcast at once, since it is ahead of every load report.
 */
import type {Clock} from '../clock/index.js';
import type {EndpointAdapter, LoadReport} from '../engine/index.js';
import type {Message} from '../messages/index.js';
import type {Metrics} from '../metrics/index.js';
import type {EndpointState, EndpointTable} from '../placement/index.js';
import type {Membership} from './membership.js';

/** Hosts that poll an endpoint. */
const POLLERS_PER_ENDPOINT = 2;
/** Least time between two broadcasts of an unchanged state. */
const REBROADCAST_INTERVAL_MILLISECONDS = 5_000;

/** Age up to which a host reports its own observations to a new peer. */
const MAX_REPORTED_AGE_MILLISECONDS = 3_000;
/** Longest time that a message or the head of a response may be in transit. */
const MAX_TRANSIT_MILLISECONDS = 1_000;

type State = LoadReport['state'];

/**
 * Precedence of the states: the higher, the more careful hosts must be. Only an
 * observation that was made later may replace a state of higher precedence.
 */
const STATE_PRECEDENCE: Readonly<Record<State, number>> = {
  warm: 0,
  cold: 1,
  leaving: 2,
};

interface ObservedLoad {
  /** Running requests, as reported by the endpoint. */
  readonly running: number;
  /** When the report was requested, in this host's monotonic milliseconds. */
  readonly requestedAt: number;
}

const NO_LOAD: ObservedLoad = {running: 0, requestedAt: -Infinity};

/** The latest known state and load of an endpoint. */
export interface EndpointObservation extends ObservedLoad {
  readonly state: State;
  /** When the state was first seen, in this host's monotonic milliseconds. */
  readonly since: number;
}

/** Dependencies and callbacks of `EndpointMonitor`. */
export interface EndpointMonitorOptions {
  readonly clock: Clock;
  readonly adapter: EndpointAdapter;
  readonly endpoints: EndpointTable;
  readonly membership: Membership;
  readonly metrics: Metrics;
  readonly broadcast: (message: Message) => void;
  /**
   * Whether this host holds the lease of a zone, and so grants the slots of its
   * cold endpoints.
   */
  readonly holdsZoneLease: (zone: string) => boolean;
  /** Called when the state of an endpoint has changed. */
  readonly changed: () => void;
}

/** What a host has observed of endpoints itself or heard from other hosts. */
export class EndpointMonitor {
  private readonly observations = new Map<string, EndpointObservation>();
  private readonly lastBroadcastAt = new Map<string, number>();
  private readonly pendingPolls = new Set<string>();

  constructor(private readonly options: EndpointMonitorOptions) {}

  /**
   * Requests the load of the endpoints that this host polls. Skips an endpoint
   * that has not responded to the last poll yet.
   */
  poll(): void {
    for (const known of this.options.endpoints.list()) {
      if (this.shouldPoll(known)) void this.pollEndpoint(known);
    }
  }

  /** The latest observation of an endpoint; undefined if there is none. */
  observation(endpoint: string): EndpointObservation | undefined {
    return this.observations.get(endpoint);
  }

  /**
   * Records the state that a response gave for its endpoint. Broadcasts it if
   * it is new.
   */
  recordResponseState(endpoint: string, state: State): void {
    const before = this.observations.get(endpoint);
    if (before?.state === state) return;
    const seenAt = this.options.clock.monotonic() - MAX_TRANSIT_MILLISECONDS;
    if (!this.record(endpoint, state, seenAt)) return;
    this.options.metrics.count('endpoint-turned', {endpoint, state});
    this.options.broadcast({kind: 'endpoint-state', endpoint, state});
  }

  /**
   * Records another host's report. Its observation counts as having the
   * greatest possible age, since the report does not say when it was made.
   */
  recordReport({endpoint, state}: EndpointStateReport): void {
    const maxAge = MAX_REPORTED_AGE_MILLISECONDS + MAX_TRANSIT_MILLISECONDS;
    this.record(endpoint, state, this.options.clock.monotonic() - maxAge);
  }

  /**
   * Reports for a host that has just become reachable. Only states that this
   * host has polled recently are included, since states that it was told by
   * others may be older than what the new host knows.
   */
  recentReports(): Message[] {
    const since =
      this.options.clock.monotonic() - MAX_REPORTED_AGE_MILLISECONDS;
    const recent = [...this.observations].filter(
      ([, {requestedAt}]) => requestedAt >= since,
    );
    return recent.map(([endpoint, {state}]) => ({
      kind: 'endpoint-state',
      endpoint,
      state,
    }));
  }

  private shouldPoll({endpoint, warm}: EndpointState): boolean {
    const {membership, holdsZoneLease} = this.options;
    const rank = membership.preferenceRank(endpoint.zone, endpoint.name);
    if (rank >= 0 && rank < POLLERS_PER_ENDPOINT) return true;
    return !warm && holdsZoneLease(endpoint.zone);
  }

  private async pollEndpoint({endpoint}: EndpointState): Promise<void> {
    const {clock, adapter, endpoints} = this.options;
    const {name} = endpoint;
    if (this.pendingPolls.has(name)) return;
    this.pendingPolls.add(name);
    const requestedAt = clock.monotonic();
    try {
      const {state, running} = await adapter.load(endpoint);
      if (this.record(name, state, requestedAt, {running, requestedAt})) {
        this.broadcastIfDue(name, requestedAt);
      }
    } catch {
      endpoints.update(name, {kind: 'failed', now: clock.monotonic()});
    } finally {
      this.pendingPolls.delete(name);
    }
  }

  /**
   * Records a state that was observed at `seenAt` at the earliest; returns
   * whether it was accepted. Reports can overtake each other, so one that may
   * be older than the change to leaving or cold does not revert that change.
   */
  private record(
    endpoint: string,
    state: State,
    seenAt: number,
    load?: ObservedLoad,
  ): boolean {
    const before = this.observations.get(endpoint);
    const isReverting =
      before && STATE_PRECEDENCE[state] < STATE_PRECEDENCE[before.state];
    if (isReverting && seenAt < before.since) return false;
    const isUnchanged = before?.state === state;
    const since = isUnchanged ? before.since : this.options.clock.monotonic();
    const latest = load ?? before ?? NO_LOAD;
    const {running, requestedAt} = latest;
    this.observations.set(endpoint, {state, since, running, requestedAt});
    this.options.endpoints.update(endpoint, {kind: 'reported', state});
    if (!isUnchanged) {
      this.lastBroadcastAt.delete(endpoint);
      this.options.changed();
    }
    return true;
  }

  private broadcastIfDue(endpoint: string, now: number): void {
    const lastAt = this.lastBroadcastAt.get(endpoint) ?? -Infinity;
    const observation = this.observations.get(endpoint);
    if (!observation || now - lastAt < REBROADCAST_INTERVAL_MILLISECONDS)
      return;
    this.lastBroadcastAt.set(endpoint, now);
    const {state} = observation;
    this.options.broadcast({kind: 'endpoint-state', endpoint, state});
  }
}

type EndpointStateReport = Extract<Message, {kind: 'endpoint-state'}>;
