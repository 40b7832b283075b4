/**
 * Compares the view of a keyed topic with the topic's log: pages overlap,
 * arrive late, are not a consistent snapshot or come from another host, and
 * some are never delivered.
 */
import test from 'ava';
import fc from 'fast-check';

import {
  applyPage,
  applyPeerPage,
  applyFullPage,
  recordsFrom,
  UNREAD,
  type KeyedRecord,
  type KeyedState,
  type PeerRecordPage,
} from '../source/store/index.js';
import {step, steps, type Step} from './support/commands.js';
import {holds, isSeenToFail} from './support/fuzz.js';

const KEYS = ['one', 'two', 'three', 'four'];

type Follow = typeof applyPage;
type FollowPeer = typeof applyPeerPage;

/** The log of the topic, and two hosts that follow it. */
class Simulation {
  private readonly log: KeyedRecord[] = [];
  private views: KeyedState[] = [UNREAD, UNREAD];
  private readonly delayedPages: KeyedRecord[][] = [];
  problem = '';

  constructor(
    private readonly follow: Follow,
    private readonly followPeer: FollowPeer,
  ) {}

  append(key: string, removed: boolean): void {
    const offset = this.log.length;
    const value = removed ? undefined : Buffer.from(String(offset));
    this.log.push({key, value, offset});
  }

  /**
   * A host reads on; if `redelivered`, the same page also arrives a second
   * time, later.
   */
  read(host: number, redelivered: boolean): void {
    const view = this.views[host] ?? UNREAD;
    if (view.next === undefined) return;
    const records = this.log.slice(view.next);
    this.setView(
      host,
      this.follow(view, {records, end: this.log.length}).state,
    );
    if (redelivered) this.delayedPages.push(records);
  }

  /**
   * A host reads the newest records in two pages, between which the topic
   * changes.
   */
  reload(host: number, changes: ReadonlyArray<[string, boolean]>): void {
    const end = this.log.length;
    const first = this.newest(end);
    for (const [key, removed] of changes) this.append(key, removed);
    const second = this.newest(this.log.length);
    const lastKeyIndex = KEYS.indexOf(first[1]?.key ?? KEYS.at(-1) ?? '');
    const rest = second.filter(({key}) => KEYS.indexOf(key) > lastKeyIndex);
    const records = [...first.slice(0, 2), ...rest];
    const view = this.views[host] ?? UNREAD;
    this.setView(host, applyFullPage(view, {records, end}).state);
  }

  /** A host receives what another one knows. */
  sendRecords(from: number, to: number): void {
    const view = this.views[to] ?? UNREAD;
    const source = this.views[from] ?? UNREAD;
    const page: PeerRecordPage = recordsFrom(source, {offset: view.next ?? 0});
    if (page.end <= (view.next ?? 0)) return;
    const apply = page.whole ? applyFullPage : this.follow;
    this.setView(to, apply(view, page).state);
  }

  /**
   * A host receives what another one knows from an offset on, as after a message
   * that was lost; an older program does not say from which.
   */
  sendPart(from: number, to: number, offset: number, saysStart: boolean): void {
    const source = this.views[from] ?? UNREAD;
    const page = recordsFrom(source, {offset});
    if (page.end <= offset) return;
    const start = saysStart ? page.start : undefined;
    const view = this.views[to] ?? UNREAD;
    this.setView(to, this.followPeer(view, {...page, start}).state);
  }

  deliverLate(host: number): void {
    const records = this.delayedPages.shift();
    const view = this.views[host] ?? UNREAD;
    if (!records || view.next === undefined) return;
    this.setView(host, this.follow(view, {records, end: 0}).state);
  }

  check(): void {
    for (const view of this.views) this.checkView(view);
  }

  /**
   * A view that has read up to an offset must show each key as it was there or
   * at some later offset, since a page may show a key's removal before its
   * record is read.
   */
  private checkView({records, next}: KeyedState): void {
    if (next === undefined) return;
    for (const key of KEYS) {
      const shown = String(records.get(key)?.value);
      const current = this.log.findLast(
        record => record.key === key && record.offset < next,
      );
      const later = this.log.filter(
        record => record.key === key && record.offset >= next,
      );
      const allowed = [current, ...later].map(record => String(record?.value));
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

  private setView(host: number, state: KeyedState): void {
    this.views = this.views.map((view, index) =>
      index === host ? state : view,
    );
  }
}

const key = fc.constantFrom(...KEYS);
const host = fc.constantFrom(0, 1);
const stepKinds: Array<fc.Arbitrary<Step<Simulation>>> = [
  fc
    .tuple(key, fc.boolean())
    .map(([name, removed]) =>
      step(`append ${name} ${removed}`, simulation =>
        simulation.append(name, removed),
      ),
    ),
  fc
    .tuple(host, fc.boolean())
    .map(([reader, redelivered]) =>
      step(`read ${reader} ${redelivered}`, simulation =>
        simulation.read(reader, redelivered),
      ),
    ),
  fc
    .tuple(host, fc.array(fc.tuple(key, fc.boolean()), {maxLength: 3}))
    .map(([reader, changes]) =>
      step(`reload ${reader} ${changes.join()}`, simulation =>
        simulation.reload(reader, changes),
      ),
    ),
  host.map(from =>
    step(`pass ${from}`, simulation => simulation.sendRecords(from, 1 - from)),
  ),
  fc
    .tuple(host, fc.nat({max: 12}), fc.boolean())
    .map(([from, offset, saysStart]) =>
      step(`part of ${from} from ${offset} ${saysStart}`, simulation =>
        simulation.sendPart(from, 1 - from, offset, saysStart),
      ),
    ),
  host.map(reader =>
    step(`late ${reader}`, simulation => simulation.deliverLate(reader)),
  ),
];

function property(follow: Follow, followPeer = applyPeerPage) {
  return fc.property(steps(stepKinds, 40), commands => {
    const simulation = new Simulation(follow, followPeer);
    fc.modelRun(() => ({model: {}, real: simulation}), commands);
    return simulation.problem === '';
  });
}

test('a view never misses a record or reverts to an older one', t => {
  holds(t, property(applyPage), 4_000);
});

test('the property fails if older records overwrite newer ones', t => {
  isSeenToFail(
    t,
    property((before, page) => {
      const records = new Map(before.records);
      for (const record of page.records) records.set(record.key, record);
      const next = Math.max(before.next ?? 0, page.end);
      const changes = page.records;
      return {state: {...before, records, next}, changes, isRestored: false};
    }),
    4_000,
  );
});

test('the property fails if a part of the records is taken for all up to its end', t => {
  isSeenToFail(
    t,
    property(applyPage, (before, page) =>
      page.whole ? applyFullPage(before, page) : applyPage(before, page),
    ),
    4_000,
  );
});

test('a host that has read nothing takes no part of the records', t => {
  const record = {key: 'config', value: Buffer.from('9'), offset: 9};
  const part = {records: [record], start: 9, end: 10, whole: false};
  t.deepEqual(applyPeerPage(UNREAD, part).state, UNREAD);
  t.deepEqual(applyPeerPage(UNREAD, part).changes, []);
  const {state} = applyPeerPage(UNREAD, {...part, start: 0});
  t.is(state.next, 10);
});

test('a part behind a gap is taken, but what is missing stays to be read', t => {
  const page = {records: [], end: 5};
  const {state: read} = applyFullPage(UNREAD, page);
  const record = {key: 'config', value: Buffer.from('9'), offset: 9};
  const part = {records: [record], start: 9, end: 10, whole: false};
  for (const start of [9, undefined]) {
    const {state, changes} = applyPeerPage(read, {...part, start});
    t.is(state.next, 5);
    t.deepEqual(changes, [record]);
  }
  t.is(applyPeerPage(read, {...part, start: 5}).state.next, 10);
});

test('a full page that comes late does not bring back a key that was removed twice', t => {
  const removal = {key: 'engine', value: undefined, offset: 0};
  const before = applyPage(applyFullPage(UNREAD, {records: [], end: 0}).state, {
    records: [removal],
    end: 1,
  });
  // Written at 1 and removed at 2, both unseen.
  const {state} = applyFullPage(before.state, {records: [], end: 3});
  const record = {key: 'engine', value: Buffer.from('1'), offset: 1};
  const late = applyFullPage(state, {records: [record], end: 2});
  t.deepEqual(late.changes, []);
});
