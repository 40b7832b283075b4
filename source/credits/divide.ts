/**
 * How the places of a pool are divided between hosts. First each class that
 * has work gets its floor, which the others cannot count on; then the tiers
 * are served strictly in order, each shared evenly between the hosts that need
 * it; what is left is spread, so that a host can start its next request
 * without asking.
 */

/** What one class of a host needs. */
export interface ClassNeed {
  readonly name: string;
  /** 1 is served first. */
  readonly tier: number;
  readonly floorShare: number;
  readonly running: number;
  readonly waiting: number;
  /** Of those that wait, how many are to be served before others go on. */
  readonly pressing: number;
}

/** What one host needs. */
export interface HostNeed {
  readonly host: string;
  readonly classes: readonly ClassNeed[];
}

/** What one host gets. */
export interface Share {
  readonly host: string;
  readonly places: number;
}

/** The division, and the highest tier that presses in vain. */
export interface Division {
  readonly shares: readonly Share[];
  /** 0 where none does. */
  readonly pressure: number;
}

const TIERS = [1, 2, 3];
const FLOORS_MOST_SHARE = 0.5;

/**
 * Divides places.
 *
 * ```ts
 * const {shares} = divide(16, [{host: 'host-1', classes}]);
 * ```
 */
export function divide(places: number, needs: readonly HostNeed[]): Division {
  const given = new Map(needs.map(({host}) => [host, 0]));
  const left = new Map<string, number>();
  for (const {host, classes} of needs) {
    for (const need of classes) left.set(keyOf(host, need), needOf(need));
  }
  let rest = places - giveFloors(places, needs, left, given);
  let pressure = 0;
  for (const tier of TIERS) {
    const wanted = wantedBy(needs, left, tier);
    const short = total(wanted) > rest && places > 0;
    rest -= giveEvenly(rest, wanted, given);
    if (pressure === 0 && short && presses(needs, tier)) pressure = tier;
  }
  spread(rest, given);
  const shares = [...given].map(([host, count]) => ({host, places: count}));
  return {shares, pressure};
}

function keyOf(host: string, {name}: ClassNeed): string {
  return `${host} ${name}`;
}

function needOf({running, waiting}: ClassNeed): number {
  return running + waiting;
}

/** Gives each class with work its floor, where most of it waits. */
function giveFloors(
  places: number,
  needs: readonly HostNeed[],
  left: Map<string, number>,
  given: Map<string, number>,
): number {
  let budget = Math.floor(places * FLOORS_MOST_SHARE);
  let spent = 0;
  for (const [name, floorShare] of floorsOf(needs)) {
    const wanted = Math.min(
      Math.max(Math.round(places * floorShare), 1),
      budget,
    );
    const byHost = new Map<string, number>();
    for (const {host} of needs)
      byHost.set(host, left.get(`${host} ${name}`) ?? 0);
    const before = new Map(given);
    const used = giveEvenly(wanted, byHost, given);
    for (const {host} of needs) {
      const more = (given.get(host) ?? 0) - (before.get(host) ?? 0);
      left.set(`${host} ${name}`, (byHost.get(host) ?? 0) - more);
    }
    budget -= used;
    spent += used;
  }
  return spent;
}

function floorsOf(needs: readonly HostNeed[]): Map<string, number> {
  const floors = new Map<string, number>();
  for (const {classes} of needs) {
    for (const need of classes) {
      if (needOf(need) > 0 && need.floorShare > 0) {
        floors.set(need.name, need.floorShare);
      }
    }
  }
  return floors;
}

function wantedBy(
  needs: readonly HostNeed[],
  left: ReadonlyMap<string, number>,
  tier: number,
): Map<string, number> {
  const wanted = new Map<string, number>();
  for (const {host, classes} of needs) {
    let sum = 0;
    for (const need of classes) {
      if (need.tier === tier) sum += left.get(keyOf(host, need)) ?? 0;
    }
    wanted.set(host, sum);
  }
  return wanted;
}

function presses(needs: readonly HostNeed[], tier: number): boolean {
  return needs.some(({classes}) =>
    classes.some(need => need.tier === tier && need.pressing > 0),
  );
}

function total(wanted: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const count of wanted.values()) sum += count;
  return sum;
}

/** Gives up to `places`, the smallest needs first and the rest in equal parts. */
function giveEvenly(
  places: number,
  wanted: ReadonlyMap<string, number>,
  given: Map<string, number>,
): number {
  const open = [...wanted].filter(([, count]) => count > 0);
  open.sort(
    ([host, one], [otherHost, other]) =>
      one - other || compare(host, otherHost),
  );
  let rest = places;
  for (const [index, [host, count]] of open.entries()) {
    const part = Math.ceil(rest / (open.length - index));
    const got = Math.min(count, part, rest);
    given.set(host, (given.get(host) ?? 0) + got);
    rest -= got;
  }
  return places - rest;
}

function spread(places: number, given: Map<string, number>): void {
  const hosts = [...given.keys()].sort(compare);
  if (hosts.length === 0) return;
  const whole = Math.floor(places / hosts.length);
  const over = places % hosts.length;
  for (const [index, host] of hosts.entries()) {
    const more = whole + (index < over ? 1 : 0);
    given.set(host, (given.get(host) ?? 0) + more);
  }
}

function compare(one: string, other: string): number {
  return one < other ? -1 : 1;
}
