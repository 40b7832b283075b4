/**
 * The view of a keyed topic against an oracle of plain maps: pages overlap, come
 * late, are no snapshot, come from another host, and are lost for good.
 */
import test from 'ava';
import fc from 'fast-check';

import {
  afterFollow,
  afterReload,
  recordsFrom,
  UNREAD,
  type KeyedRecord,
  type KeyedState,
  type PassedOn,
} from '../source/store/index.js';
import {step, steps, type Step} from './support/commands.js';
import {holds, isSeenToFail} from './support/fuzz.js';

const KEYS = ['one', 'two', 'three', 'four'];

type Follow = typeof afterFollow;

/** The topic as it is, and two hosts that follow it. */
class World {
  private readonly log: KeyedRecord[] = [];
  private views: KeyedState[] = [UNREAD, UNREAD];
  private readonly late: KeyedRecord[][] = [];
  problem = '';

  constructor(private readonly follow: Follow) {}

  append(key: string, removed: boolean): void {
    const offset = this.log.length;
    const value = removed ? undefined : Buffer.from(String(offset));
    this.log.push({key, value, offset});
  }

  /** A host reads on; the page may also be delivered a second time, later. */
  read(host: number, again: boolean): void {
    const view = this.views[host] ?? UNREAD;
    if (view.next === undefined) return;
    const records = this.log.slice(view.next);
    this.set(host, this.follow(view, {records, end: this.log.length}).state);
    if (again) this.late.push(records);
  }

  /** A host reads the newest records, while the topic moves between two pages. */
  reload(host: number, moves: ReadonlyArray<[string, boolean]>): void {
    const end = this.log.length;
    const first = this.newest(end);
    for (const [key, removed] of moves) this.append(key, removed);
    const second = this.newest(this.log.length);
    const after = KEYS.indexOf(first[1]?.key ?? KEYS.at(-1) ?? '');
    const rest = second.filter(({key}) => KEYS.indexOf(key) > after);
    const records = [...first.slice(0, 2), ...rest];
    const view = this.views[host] ?? UNREAD;
    this.set(host, afterReload(view, {records, end}).state);
  }

  /** A host gets what another one knows. */
  pass(from: number, to: number): void {
    const view = this.views[to] ?? UNREAD;
    const source = this.views[from] ?? UNREAD;
    const page: PassedOn = recordsFrom(source, view.next ?? 0);
    if (page.end <= (view.next ?? 0)) return;
    const after = page.whole ? afterReload : this.follow;
    this.set(to, after(view, page).state);
  }

  deliverLate(host: number): void {
    const records = this.late.shift();
    const view = this.views[host] ?? UNREAD;
    if (!records || view.next === undefined) return;
    this.set(host, this.follow(view, {records, end: 0}).state);
  }

  check(): void {
    for (const view of this.views) this.checkView(view);
  }

  /**
   * A view that has read up to an offset shows each key as it was there or at
   * some later offset, since a page may show a key's removal before its record
   * is read.
   */
  private checkView({records, next}: KeyedState): void {
    if (next === undefined) return;
    for (const key of KEYS) {
      const shown = String(records.get(key)?.value);
      const due = this.log.findLast(
        record => record.key === key && record.offset < next,
      );
      const later = this.log.filter(
        record => record.key === key && record.offset >= next,
      );
      const allowed = [due, ...later].map(record => String(record?.value));
      if (allowed.includes(shown)) continue;
      this.problem = `${key}: ${shown}, not ${allowed.join(' or ')}`;
    }
  }

  private newest(end: number): KeyedRecord[] {
    return KEYS.flatMap(key => {
      const record = this.log.findLast(
        each => each.key === key && each.offset < end,
      );
      return record?.value ? [record] : [];
    });
  }

  private set(host: number, state: KeyedState): void {
    this.views = this.views.map((view, index) =>
      index === host ? state : view,
    );
  }
}

const key = fc.constantFrom(...KEYS);
const host = fc.constantFrom(0, 1);
const kinds: Array<fc.Arbitrary<Step<World>>> = [
  fc
    .tuple(key, fc.boolean())
    .map(([name, removed]) =>
      step(`append ${name} ${removed}`, world => world.append(name, removed)),
    ),
  fc
    .tuple(host, fc.boolean())
    .map(([reader, again]) =>
      step(`read ${reader} ${again}`, world => world.read(reader, again)),
    ),
  fc
    .tuple(host, fc.array(fc.tuple(key, fc.boolean()), {maxLength: 3}))
    .map(([reader, moves]) =>
      step(`reload ${reader} ${moves.join()}`, world =>
        world.reload(reader, moves),
      ),
    ),
  host.map(from => step(`pass ${from}`, world => world.pass(from, 1 - from))),
  host.map(reader =>
    step(`late ${reader}`, world => world.deliverLate(reader)),
  ),
];

function property(follow: Follow) {
  return fc.property(steps(kinds, 40), commands => {
    const world = new World(follow);
    fc.modelRun(() => ({model: {}, real: world}), commands);
    return world.problem === '';
  });
}

test('a view never misses or takes back a record', t => {
  holds(t, property(afterFollow), 4_000);
});

test('the check notices a view that lets older records overwrite newer ones', t => {
  isSeenToFail(
    t,
    property((before, page) => {
      const records = new Map(before.records);
      for (const record of page.records) records.set(record.key, record);
      const next = Math.max(before.next ?? 0, page.end);
      return {state: {...before, records, next}, changes: page.records};
    }),
    4_000,
  );
});
