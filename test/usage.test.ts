/**
 * Usage: every report of a window has the same figures, and no usage is counted
 * twice (invariant 7).
 */
import test from 'ava';
import fc from 'fast-check';

import {
  applyEntry,
  initialLogState,
  type LogState,
} from '../source/log/index.js';
import type {UsageReport} from '../source/platform/index.js';
import {
  nextFreeze,
  nextUnreported,
  UsageSheets,
  usageLeaseName,
} from '../source/usage/index.js';
import {step, steps} from './support/commands.js';
import {holds, isSeenToFail} from './support/fuzz.js';
import {Tape} from './support/tape.js';

const REGION = 'sicily';
const HOSTS = 3;
const MAX_WAIT_WINDOWS = 3;

interface Faults {
  /** The holder of the lease reports windows without freezing them. */
  readonly reportsUnfrozen?: boolean;
  /** All usage of a frozen window is carried over, not only what it left out. */
  readonly carriesAll?: boolean;
}

interface HostModel {
  readonly incarnation: string;
  readonly sheets: UsageSheets;
  fold: LogState;
}

class World {
  currentWindow = 10;
  readonly tape = new Tape();
  hosts: HostModel[] = [];
  readonly reports: Array<Pick<UsageReport, 'window' | 'figures'>> = [];
  used = 0;
  killed = 0;
  private hostsCreated = 0;

  constructor(private readonly faults: Faults) {
    for (let index = 0; index < HOSTS; index++) this.hosts.push(this.create());
    this.claim(0);
  }

  create(): HostModel {
    const incarnation = `incarnation-${++this.hostsCreated}`;
    const sheets = new UsageSheets(REGION, incarnation);
    return {incarnation, sheets, fold: initialLogState(0)};
  }

  use(index: number, team: string, tokens: number): void {
    this.hosts[index]?.sheets.add(this.currentWindow, {
      team,
      requests: 1,
      tokens,
    });
    this.used += tokens;
  }

  copy(from: number, to: number, full: boolean, lost: boolean): void {
    const [source, target] = [this.hosts[from], this.hosts[to]];
    if (!source || !target || from === to) return;
    const sheets = source.sheets.takeUpdates(full);
    if (lost) return;
    for (const sheet of sheets) target.sheets.applyUpdate(sheet);
    if (!full) return;
    for (const sheet of source.sheets.exportReplicas())
      target.sheets.applyUpdate(sheet);
  }

  read(index: number): void {
    const host = this.hosts[index];
    if (!host) return;
    for (const entry of this.tape.read(host.fold.next)) {
      ({state: host.fold} = applyEntry(host.fold, entry));
    }
    host.sheets.sealBefore(this.currentWindow);
    const ledger = this.faults.carriesAll
      ? withoutIncludes(host.fold.usage)
      : host.fold.usage;
    host.sheets.carryOver(ledger, this.currentWindow);
  }

  claim(index: number): void {
    const host = this.hosts[index];
    if (!host) return;
    this.read(index);
    const lease = usageLeaseName(REGION);
    const follows = host.fold.leases.get(lease)?.offset ?? -1;
    this.tape.send({
      kind: 'lease',
      lease,
      holder: host.incarnation,
      action: 'claim',
      follows,
      token: 1,
      duration: 1_000,
    });
    this.tape.landAll(0);
  }

  freeze(index: number): void {
    const host = this.hosts[index];
    const lease = host?.fold.leases.get(usageLeaseName(REGION));
    if (!host || !lease) return;
    const record = nextFreeze(host.sheets, host.fold.usage, {
      region: REGION,
      holder: host.incarnation,
      fence: lease.fence,
      currentWindow: this.currentWindow,
      maxWaitWindows: MAX_WAIT_WINDOWS,
      expectedIncarnations: () =>
        new Set(this.hosts.map(({incarnation}) => incarnation)),
    });
    if (!record) return;
    if (this.faults.reportsUnfrozen) this.reports.push(record);
    else this.tape.send(record);
  }

  report(index: number, lost: boolean): void {
    const host = this.hosts[index];
    const unreported = host && nextUnreported(host.fold.usage, REGION);
    if (!unreported) return;
    const {window} = unreported;
    this.reports.push({window, figures: [...unreported.figures]});
    if (!lost) this.tape.send({kind: 'usage-reported', region: REGION, window});
  }

  kill(index: number): void {
    this.hosts[index] = this.create();
    this.killed++;
  }

  /** Exchanges, freezes and reports everything until nothing is left to do. */
  settle(): void {
    for (let round = 0; round < 40; round++) {
      this.currentWindow++;
      for (const from of this.hosts.keys()) {
        this.read(from);
        for (const to of this.hosts.keys()) this.copy(from, to, true, false);
      }
      if (round === 0) this.claim(0);
      this.read(0);
      this.freeze(0);
      this.tape.landAll(0);
      this.read(0);
      this.report(0, false);
      this.tape.landAll(0);
    }
  }

  check(): void {
    const byWindow = new Map<number, string>();
    for (const {window, figures} of this.reports) {
      const text = JSON.stringify(figures);
      const before = byWindow.get(window) ?? text;
      if (before !== text)
        throw new Error(
          `window ${window} was reported with two different sets of figures`,
        );
      byWindow.set(window, text);
    }
  }

  checkSum(): void {
    const windows = new Map(
      this.reports.map(report => [report.window, report]),
    );
    let sum = 0;
    for (const {figures} of windows.values()) {
      for (const {tokens} of figures) sum += tokens;
    }
    if (sum > this.used)
      throw new Error(`${sum} tokens reported of ${this.used}`);
    if (this.killed === 0 && sum < this.used) {
      throw new Error(`only ${sum} tokens reported of ${this.used}`);
    }
  }
}

function withoutIncludes(ledger: LogState['usage']): LogState['usage'] {
  return new Map(
    [...ledger].map(([region, {closedThrough, windows}]) => [
      region,
      {
        closedThrough,
        windows: new Map(
          [...windows].map(([window, frozen]) => [
            window,
            {...frozen, includes: []},
          ]),
        ),
      },
    ]),
  );
}

const command = step<World>;

const host = fc.nat(HOSTS - 1);

const kill = host.map(index =>
  command(`kill ${index}`, world => world.kill(index)),
);

const baseCommands = [
  fc
    .tuple(host, fc.constantFrom('one', 'two'), fc.integer({min: 1, max: 99}))
    .map(([index, team, tokens]) =>
      command(`use ${index} ${team} ${tokens}`, world =>
        world.use(index, team, tokens),
      ),
    ),
  fc
    .tuple(host, host, fc.boolean(), fc.boolean())
    .map(([from, to, full, lost]) =>
      command(`copy ${from} ${to} full=${full} lost=${lost}`, world =>
        world.copy(from, to, full, lost),
      ),
    ),
  fc.constant(command('next window', world => world.currentWindow++)),
  host.map(index => command(`read ${index}`, world => world.read(index))),
  host.map(index => command(`freeze ${index}`, world => world.freeze(index))),
  host.map(index => command(`claim ${index}`, world => world.claim(index))),
  fc
    .nat(5)
    .map(index =>
      command(`land ${index}`, ({tape}) => tape.land(index, false)),
    ),
  fc
    .nat(5)
    .map(index =>
      command(`double ${index}`, ({tape}) => tape.land(index, true)),
    ),
  fc
    .tuple(host, fc.boolean())
    .map(([index, lost]) =>
      command(`report ${index} lost=${lost}`, world =>
        world.report(index, lost),
      ),
    ),
];

function property(faults: Faults, kills: boolean) {
  const commands = steps(kills ? [...baseCommands, kill] : baseCommands, 50);
  return fc.property(commands, list => {
    const world = new World(faults);
    fc.modelRun(() => ({model: {}, real: world}), list);
    world.settle();
    world.check();
    world.checkSum();
  });
}

test('windows are reported once, with every token', t => {
  holds(t, property({}, false), 1_000);
});

test('no usage is reported twice when hosts are killed', t => {
  holds(t, property({}, true), 1_000);
});

test('the check detects reports of windows that are not frozen', t => {
  isSeenToFail(t, property({reportsUnfrozen: true}, true), 1_000);
});

test('the check detects usage that is carried over twice', t => {
  isSeenToFail(t, property({carriesAll: true}, false), 1_000);
});
