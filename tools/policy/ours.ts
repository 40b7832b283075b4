/**
 * The router's own decisions: the real admission, placement and credits of
 * every host, with messages that take a millisecond and a lease that is held.
 */
import {
  Admission,
  type AdmissionRequest,
} from '../../source/admission/index.js';
import type {Configuration} from '../../source/configuration/index.js';
import {
  HeldGrants,
  type Demand,
  type Grant,
} from '../../source/credits/index.js';
import {Refusal} from '../../source/errors/index.js';
import {
  CreditCoordinator,
  GrantedSlotQuotas,
  Membership,
  zoneLeaseName,
  type EndpointMonitor,
  type LeaseManager,
} from '../../source/fleet/index.js';
import type {Leases} from '../../source/lease/index.js';
import {Metrics} from '../../source/metrics/index.js';
import {
  EndpointTable,
  EqualSplitQuotas,
  type Slot,
} from '../../source/placement/index.js';
import type {ModelEngine} from './engines.js';
import {Policy, type Site} from './policy.js';
import type {Arrival} from './trace.js';

const MESSAGE_MILLISECONDS = 1;
const ATTEMPTS_MOST = 3;
const QUEUE_PLACES = 1_000;

class Lost extends Error {}

interface Seen {
  readonly state: ModelEngine['state'];
  readonly since: number;
  readonly running: number;
  readonly askedAt: number;
}

/** One host’s deciding modules. */
class PolicyHost {
  readonly endpoints: EndpointTable;
  readonly admission: Admission;
  readonly credits: CreditCoordinator;
  readonly membership: Membership;
  readonly name: string;
  readonly seen = new Map<string, Seen>();
  private readonly holding = new HeldGrants();

  constructor(
    index: number,
    readonly zone: string,
    private readonly site: Site,
    private readonly fleet: OurPolicy,
  ) {
    const {clock} = site;
    this.name = `host-${index}`;
    const {name} = this;
    this.membership = new Membership({
      name,
      incarnation: name,
      zone,
      leaving: false,
    });
    const split = new EqualSplitQuotas(name);
    split.setHosts(site.hosts.map((_, other) => `host-${other}`));
    const allowances = new GrantedSlotQuotas(this.holding, split, clock);
    this.endpoints = new EndpointTable(zone, clock, allowances);
    this.endpoints.configure(site.configuration);
    this.admission = new Admission({
      clock,
      capacity: this.endpoints,
      maxQueued: QUEUE_PLACES,
      onChange: () => this.credits?.scheduleDemands(),
    });
    this.credits = new CreditCoordinator({
      clock,
      metrics: new Metrics(),
      incarnation: name,
      zone,
      admission: this.admission,
      endpoints: this.endpoints,
      membership: this.membership,
      watch: {
        observation: (endpoint: string) => this.seen.get(endpoint),
      } as unknown as EndpointMonitor,
      leases: {
        mayAct: (lease: string) => fleet.holderOf(lease) === name,
      } as unknown as LeaseManager,
      heldGrants: this.holding,
      configuration: () => fleet.configuration,
      leaseStatuses: () => fleet.standings,
      send: (to, message) => fleet.send(name, to, message as Demand | Grant),
    });
  }

  run(arrival: Arrival): void {
    const {clock, done} = this.site;
    const state = {
      at: clock.monotonic(),
      attempts: 0,
      first: 0,
      gap: 0,
      wasted: 0,
      cheap: false,
      failedAt: new Set<string>(),
    };
    const attempt = (): void => {
      const ticket = ticketOf(
        arrival,
        state.at,
        clock.monotonic(),
        state.attempts,
      );
      let preempt = () => {};
      let tokens = 0;
      const work = () =>
        new Promise<number>((resolve, reject) => {
          const slot = this.endpoints.acquireSlot(
            ticket.group,
            '',
            state.failedAt,
          );
          if (!slot) return reject(new Lost());
          state.attempts++;
          state.cheap = slot.endpoint.cheap;
          preempt = this.serve(
            arrival,
            slot,
            state,
            made => {
              tokens = made;
              resolve(made);
            },
            made => {
              state.wasted += made;
              reject(new Lost());
            },
          );
        });
      const entry = this.admission.run(ticket, work, () => preempt());
      entry.done.then(
        () => done({arrival, served: true, refusal: '', ...state, tokens}),
        (error: unknown) => {
          const lost = error instanceof Lost;
          if (lost && state.first === 0 && state.attempts < ATTEMPTS_MOST) {
            return attempt();
          }
          const refusal = error instanceof Refusal ? error.code : 'lost';
          done({arrival, served: false, refusal, ...state, tokens: 0});
        },
      );
    };
    attempt();
  }

  private serve(
    arrival: Arrival,
    slot: Slot,
    state: {at: number; first: number; gap: number; failedAt: Set<string>},
    whole: (tokens: number) => void,
    lost: (tokens: number) => void,
  ): () => void {
    const {clock, engines} = this.site;
    const {name} = slot.endpoint;
    const engine = engines.get(name);
    const began = clock.monotonic();
    const fail = (tokens: number) => {
      slot.release();
      lost(tokens);
    };
    const cancel = engine?.take({
      tokens: arrival.tokens,
      first: gap => {
        state.first = clock.monotonic() - state.at;
        state.gap = gap;
        const latency = clock.monotonic() - began;
        this.endpoints.update(name, {
          kind: 'answered',
          latency,
          now: clock.monotonic(),
        });
      },
      ended: (served, tokens) => {
        if (served) {
          slot.release();
          whole(tokens);
          return;
        }
        state.failedAt.add(name);
        this.endpoints.update(name, {kind: 'failed', now: clock.monotonic()});
        fail(tokens);
      },
    });
    if (cancel) return cancel;
    state.failedAt.add(name);
    this.endpoints.update(name, {kind: 'failed', now: clock.monotonic()});
    this.endpoints.update(name, {kind: 'failed', now: clock.monotonic()});
    clock.after(MESSAGE_MILLISECONDS, () => fail(0));
    return () => {};
  }
}

function ticketOf(
  {load, team, tokens}: Arrival,
  at: number,
  now: number,
  attempts: number,
): AdmissionRequest {
  const {className, tier, cheapShare, repeatable, queueBound} = load;
  const floorShare = 0.05;
  const lane = {
    pool: 'pool',
    className,
    tier,
    floorShare,
    cheapShare,
    repeatable,
  };
  // Output length is unknown: every request is expected to be the same.
  const estimate = 80;
  const bound = queueBound + (attempts > 0 ? now - at : 0);
  return {
    group: lane,
    team,
    weight: 1,
    estimate,
    arrived: at,
    bound,
    prefix: '',
    ...{tokens},
  };
}

/** All hosts of a site. */
export class OurPolicy extends Policy {
  configuration: Configuration;
  readonly standings: Leases;
  private readonly hosts: PolicyHost[];

  constructor(private readonly site: Site) {
    super();
    this.configuration = site.configuration;
    const zones = [...new Set(site.hosts)];
    this.standings = new Map(
      zones.map(zone => {
        const holder = `host-${site.hosts.indexOf(zone)}`;
        const standing = {
          offset: 0,
          holder,
          fence: 0,
          released: false,
          token: 0,
          duration: 0,
        };
        return [zoneLeaseName(zone), standing];
      }),
    );
    this.hosts = site.hosts.map(
      (zone, index) => new PolicyHost(index, zone, site, this),
    );
    for (const host of this.hosts) {
      for (const {name, zone} of this.hosts) {
        host.membership.setReachable({
          name,
          incarnation: name,
          zone,
          leaving: false,
        });
      }
    }
    site.clock.every(1_000, () =>
      this.hosts.forEach(({credits}) => credits.tick()),
    );
  }

  holderOf(lease: string): string | undefined {
    return this.standings.get(lease)?.holder;
  }

  send(from: string, to: string, message: Demand | Grant): void {
    const target = this.hosts.find(({name}) => name === to);
    this.site.clock.after(MESSAGE_MILLISECONDS, () => {
      if (message.kind === 'demand')
        target?.credits.handleDemand(from, message);
      else target?.credits.applyGrant(message);
    });
  }

  override arrive(arrival: Arrival): void {
    this.hosts[arrival.host]?.run(arrival);
  }

  override report(engine: ModelEngine): void {
    const now = this.site.clock.monotonic();
    const {name} = engine.endpoint;
    for (const {endpoints, seen, admission} of this.hosts) {
      if (engine.crashed) {
        endpoints.update(name, {kind: 'failed', now});
        continue;
      }
      const {state, load: running} = engine;
      const before = seen.get(name);
      const since = before?.state === state ? before.since : now;
      seen.set(name, {state, since, running, askedAt: now});
      endpoints.update(name, {kind: 'reported', state});
      admission.dispatch();
    }
  }

  override configure(configuration: Configuration): void {
    this.configuration = configuration;
    for (const {endpoints, admission} of this.hosts) {
      endpoints.configure(configuration);
      admission.dispatch();
    }
  }
}
