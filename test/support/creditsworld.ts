/**
 * A model of hosts that run requests under the grants of an owner, whose
 * messages are late or lost and of whom each may be killed and replaced.
 */
import {
  totalCommittedSlots,
  clearDemand,
  emptyAllocator,
  answerDemand,
  grantChanges,
  HeldGrants,
  setLimits,
  recordDemand,
  type Demand,
  type Grant,
  type GrantResult,
  type AllocatorState,
} from '../../source/credits/index.js';

/** Hosts at a time. */
export const HOSTS = 3;
/** Longest delay of a load report behind the endpoint's actual load. */
export const REPORT_LAG_MILLISECONDS = 2_000;
const LIMITS = [
  {endpoint: 'one', slots: 3},
  {endpoint: 'two', slots: 1},
];

/** What an allocator does wrong, to see that the check finds it. */
export interface Faults {
  /** A new owner grants at once, without waiting for old grants to expire. */
  readonly skipsInitialWait?: boolean;
  /** An owner forgets its outstanding grants before it issues new ones. */
  readonly forgetsGrants?: boolean;
}

/** A host with the requests that it runs. */
export interface HostModel {
  holding: HeldGrants;
  readonly running: Map<string, number>;
  waiting: number;
  name: string;
  readonly skew: number;
}

type Packet =
  | {readonly to: 'owner'; readonly host: string; readonly demand: Demand}
  | {readonly to: 'host'; readonly host: string; readonly grant: Grant};

/** Some hosts, the owner of the credits, and the messages between them. */
export class CreditsWorld {
  now = 0;
  private allocator: AllocatorState;
  private ownerCount = 1;
  private hostsCreated = HOSTS;
  private packets: Packet[] = [];
  readonly hosts: HostModel[] = [];
  started = 0;
  private readonly history: Array<{
    readonly at: number;
    readonly running: ReadonlyMap<string, number>;
  }> = [];

  constructor(private readonly faults: Faults) {
    this.allocator = emptyAllocator('owner-1', true, 0);
    if (faults.skipsInitialWait)
      this.allocator = setLimits(this.allocator, LIMITS);
    for (let index = 0; index < HOSTS; index++) {
      this.hosts.push({
        holding: new HeldGrants(),
        running: new Map(),
        waiting: 0,
        name: `host-${index}`,
        skew: index * 5_000_000,
      });
    }
  }

  ask(host: HostModel): void {
    const {holding, running, waiting, skew, name} = host;
    const latest = holding.latest('warm', 'pool', 'zone');
    const count = [...running.values()].reduce((sum, part) => sum + part, 0);
    const demandDefaults = {name: 'class', tier: 1, floorShare: 0, pressing: 0};
    const demand: Demand = {
      kind: 'demand',
      ledger: 'warm',
      pool: 'pool',
      zone: 'zone',
      applied: latest?.number ?? 0,
      owner: latest?.owner ?? '',
      sentAt: this.now + skew,
      classes: [{...demandDefaults, running: count, waiting}],
      inUse: [...running].map(([endpoint, part]) => ({endpoint, count: part})),
    };
    this.packets.push({to: 'owner', host: name, demand});
  }

  /** Delivers the oldest packet of a connection, or drops the connection. */
  deliver(index: number, lost: boolean): void {
    const chosen = this.packets[index % Math.max(this.packets.length, 1)];
    if (!chosen) return;
    const isSameConnection = (packet: Packet) =>
      packet.host === chosen.host && packet.to === chosen.to;
    const first = this.packets.find(isSameConnection);
    if (!first) return;
    if (lost) {
      this.packets = this.packets.filter(({host}) => host !== chosen.host);
      this.allocator = clearDemand(this.allocator, chosen.host);
      return;
    }
    this.packets.splice(this.packets.indexOf(first), 1);
    if (first.to === 'owner') this.takeDemand(first.host, first.demand);
    else this.takeGrant(first.host, first.grant);
  }

  start(host: HostModel, endpoint: string): void {
    host.waiting++;
    const held = host.holding.active(
      'warm',
      'pool',
      'zone',
      this.now + host.skew,
    );
    const running = host.running.get(endpoint) ?? 0;
    if (running >= (held?.counts.get(endpoint) ?? 0)) return;
    host.waiting--;
    host.running.set(endpoint, running + 1);
    this.started++;
  }

  finish(host: HostModel, endpoint: string): void {
    const running = host.running.get(endpoint) ?? 0;
    if (running > 0) host.running.set(endpoint, running - 1);
  }

  /** Kills a host and the requests that it runs; a new host replaces it. */
  kill(host: HostModel): void {
    this.packets = this.packets.filter(packet => packet.host !== host.name);
    this.allocator = clearDemand(this.allocator, host.name);
    host.name = `host-${this.hostsCreated++}`;
    host.holding = new HeldGrants();
    host.running.clear();
    host.waiting = 0;
  }

  /** Replaces the owner by one that knows nothing of the earlier grants. */
  replaceOwner(): void {
    this.ownerCount++;
    const startedAt = this.faults.skipsInitialWait
      ? this.now - 10_000
      : this.now;
    this.packets = [];
    this.allocator = emptyAllocator(
      `owner-${this.ownerCount}`,
      true,
      startedAt,
    );
    if (this.faults.skipsInitialWait)
      this.allocator = setLimits(this.allocator, LIMITS);
  }

  /** Applies load reports that show the endpoints as they were `lag` ago. */
  report(lag: number): void {
    const sample = this.history.findLast(({at}) => at <= this.now - lag);
    const limits = LIMITS.map(limit => {
      const running = sample?.running.get(limit.endpoint) ?? 0;
      // Requests that run under a former owner's grants are unknown to the new
      // owner's allocator.
      const covers = this.now - REPORT_LAG_MILLISECONDS;
      const report = {running, covers};
      const committed = totalCommittedSlots(
        this.allocator,
        {...limit, report},
        this.now,
      );
      const slots = limit.slots - Math.max(running - committed, 0);
      return {...limit, slots: Math.max(slots, 0), report};
    });
    const oldGrantsExpired =
      this.now - REPORT_LAG_MILLISECONDS >= this.allocator.grantsFrom;
    if (oldGrantsExpired) this.allocator = setLimits(this.allocator, limits);
  }

  private runningAt(endpoint: string): number {
    return this.hosts.reduce(
      (total, {running}) => total + (running.get(endpoint) ?? 0),
      0,
    );
  }

  check(): void {
    const running = new Map(
      LIMITS.map(({endpoint}) => [endpoint, this.runningAt(endpoint)]),
    );
    this.history.push({at: this.now, running});
    for (const {endpoint, slots} of LIMITS) {
      const sum = running.get(endpoint) ?? 0;
      if (sum > slots)
        throw new Error(
          `${sum} requests running at ${endpoint}, which has ${slots} slots`,
        );
    }
  }

  private takeDemand(host: string, demand: Demand): void {
    this.allocator = recordDemand(this.allocator, host, demand, this.now);
    if (this.faults.forgetsGrants) this.forgetOutstanding();
    this.sendGrants(answerDemand(this.allocator, host, this.now));
    if (this.faults.forgetsGrants) this.forgetOutstanding();
    this.sendGrants(grantChanges(this.allocator, this.now));
  }

  private sendGrants({allocator, grants}: GrantResult): void {
    this.allocator = allocator;
    for (const {host, grant} of grants) {
      this.packets.push({to: 'host', host, grant});
    }
  }

  private forgetOutstanding(): void {
    const hosts = [...this.allocator.hosts].map(
      ([name, account]) => [name, {...account, outstanding: []}] as const,
    );
    this.allocator = {...this.allocator, hosts: new Map(hosts)};
  }

  private takeGrant(name: string, grant: Grant): void {
    this.hosts.find(host => host.name === name)?.holding.apply(grant);
  }
}
