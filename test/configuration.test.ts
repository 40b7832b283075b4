/**
 * Configuration: every host folds the log to the same state, which never goes
 * back, whatever is doubled, expired, relayed or late (invariants 5 and 15).
 */
import test from 'ava';
import fc from 'fast-check';

import {
  applyNote,
  digestOf,
  emptyConfiguration,
  releaseNoteSchema,
  type Configuration,
  type ReleaseNote,
} from '../source/configuration/index.js';
import {LogReplica} from '../source/fleet/index.js';
import {
  initialLogState,
  isComplete,
  takeSnapshot,
} from '../source/log/index.js';
import {Metrics} from '../source/metrics/index.js';
import {step, steps} from './support/commands.js';
import {holds, isSeenToFail} from './support/fuzz.js';
import {Tape} from './support/tape.js';

const HOSTS = 3;

type Collection = 'zones' | 'teams' | 'keys';

interface Change {
  readonly operation: 'added' | 'changed' | 'withdrawn';
  readonly collection: Collection;
  readonly name: string;
  readonly revision: number;
  readonly team: string;
}

function objectOf({collection, name, team, revision}: Change): object {
  if (collection === 'zones') {
    return {name, region: 'sicily', state: revision % 2 === 0 ? 'in' : 'out'};
  }
  if (collection === 'teams') return {name, weight: revision};
  return {name, team, digest: digestOf(name)};
}

function noteOf(id: string, changes: readonly Change[]): ReleaseNote {
  const note = {
    id,
    added: {} as Record<string, object[]>,
    changed: {} as Record<string, object[]>,
    withdrawn: {} as Record<string, object[]>,
  };
  for (const change of changes) {
    const {operation, collection, name, revision} = change;
    const list = (note[operation][collection] ??= []);
    if (operation === 'added') list.push(objectOf(change));
    if (operation === 'changed')
      list.push({revision, object: objectOf(change)});
    if (operation === 'withdrawn') list.push({name, revision});
  }
  return releaseNoteSchema.parse(note);
}

/** The oracle: what is live, with its revision, and what was ever withdrawn. */
class Oracle {
  readonly live = new Map<string, number>();
  private readonly known = new Map<string, number>();
  private readonly teamOf = new Map<string, string>();
  private readonly ids = new Set<string>();

  apply({id}: ReleaseNote, changes: readonly Change[]): void {
    if (this.ids.has(id)) return;
    this.ids.add(id);
    if (!this.accepts(changes)) return;
    for (const {operation, collection, name, team} of changes) {
      const key = `${collection} ${name}`;
      const revision = (this.known.get(key) ?? 0) + 1;
      this.known.set(key, revision);
      if (operation === 'withdrawn') this.live.delete(key);
      else this.live.set(key, revision);
      if (collection === 'keys') this.teamOf.set(key, team);
    }
  }

  private accepts(changes: readonly Change[]): boolean {
    const keys = changes.map(({collection, name}) => `${collection} ${name}`);
    if (new Set(keys).size < keys.length) return false;
    const teams = new Set(
      [...this.known.keys()].filter(key => key.startsWith('teams ')),
    );
    for (const [
      index,
      {operation, collection, revision},
    ] of changes.entries()) {
      const key = keys[index] ?? '';
      const present = this.live.get(key);
      if (operation === 'added') {
        if (present !== undefined) return false;
        if (collection === 'keys' && this.known.has(key)) return false;
        if (collection === 'teams') teams.add(key);
      } else if (present !== revision) return false;
    }
    return changes.every(
      ({operation, collection, team}) =>
        collection !== 'keys' ||
        operation === 'withdrawn' ||
        teams.has(`teams ${team}`),
    );
  }

  digest(): string {
    return [...this.live]
      .map(([key, revision]) => `${key}@${revision}`)
      .sort()
      .join();
  }
}

function liveOf({tables}: Configuration): string {
  const found: string[] = [];
  for (const collection of ['zones', 'teams', 'keys'] as const) {
    for (const [name, {object, revision}] of tables[collection]) {
      if (object) found.push(`${collection} ${name}@${revision}`);
    }
  }
  return found.sort().join();
}

interface Faults {
  /** A newcomer judges notes without waiting for a snapshot. */
  readonly hasty?: boolean;
}

class World {
  readonly tape = new Tape();
  readonly changes = new Map<string, readonly Change[]>();
  /** What is live after each offset, by the oracle. */
  readonly history: string[] = [];
  readonly hosts: LogReplica[] = [];
  readonly cut = new Set<number>();
  private readonly oracle = new Oracle();
  private snapshotCovers = -1;

  constructor(private readonly faults: Faults) {
    for (let index = 0; index < HOSTS; index++)
      this.hosts.push(this.newcomer());
  }

  newcomer(): LogReplica {
    return new LogReplica(initialLogState(0), {
      metrics: new Metrics(),
      applied: () => {},
      claims: () => {},
      changed: () => {},
    });
  }

  publish(id: string, changes: readonly Change[]): void {
    const known = this.changes.get(id) ?? changes;
    this.changes.set(id, known);
    this.tape.send({kind: 'release-note', note: noteOf(id, known)});
  }

  snapshot(index: number): void {
    const host = this.hosts[index];
    if (!host || !isComplete(host.fold)) return;
    const snapshot = takeSnapshot(host.fold);
    this.tape.send({kind: 'snapshot', snapshot});
  }

  malformed(): void {
    this.tape.send({kind: 'nonsense'} as never);
  }

  /** Old records go once a snapshot stands in the log that covers them. */
  expire(): void {
    this.follow();
    this.tape.first = Math.max(this.tape.first, this.snapshotCovers + 1);
  }

  read(index: number): void {
    const host = this.hosts[index];
    if (!host || this.cut.has(index)) return;
    host.start(this.tape.first);
    if (this.faults.hasty)
      host.fold = {...host.fold, pendingEntries: undefined};
    host.applyEntries(this.tape.read(host.next));
  }

  relay(from: number, to: number): void {
    const [source, target] = [this.hosts[from], this.hosts[to]];
    if (!source || !target || from === to) return;
    const wants = target.fold.configuration.offset < 0 ? -1 : target.fold.next;
    const answer = source.answer(wants);
    if (answer) target.applyAnswer(answer);
  }

  replace(index: number): void {
    this.hosts[index] = this.newcomer();
  }

  /** Follows the log with the oracle, and compares every host with it. */
  check(): void {
    this.follow();
    for (const host of this.hosts) {
      if (!isComplete(host.fold)) continue;
      const {next, configuration} = host.fold;
      const expected = next === 0 ? '' : this.history[next - 1];
      if (liveOf(configuration) !== expected) {
        throw new Error(`a host has ${liveOf(configuration)}, not ${expected}`);
      }
    }
  }

  settle(): void {
    this.cut.clear();
    while (this.tape.flights.length > 0) this.tape.land(0, false);
    for (const index of this.hosts.keys()) this.read(index);
    this.check();
    const digests = this.hosts
      .filter(host => isComplete(host.fold))
      .map(host => host.fold.configuration.digest);
    if (new Set(digests).size > 1) throw new Error('hosts differ at the end');
  }

  private follow(): void {
    for (const {offset, value} of this.tape.entries.slice(
      this.history.length,
    )) {
      const record = value as {kind: string; note?: ReleaseNote};
      if (record.kind === 'release-note' && record.note) {
        const {note} = record;
        this.oracle.apply(note, this.changes.get(note.id) ?? []);
      }
      if (record.kind === 'snapshot') {
        const {snapshot} = value as {snapshot: {covers: number}};
        this.snapshotCovers = Math.max(this.snapshotCovers, snapshot.covers);
      }
      this.history[offset] = this.oracle.digest();
    }
  }
}

const command = step<World>;

const change: fc.Arbitrary<Change> = fc.record({
  operation: fc.constantFrom('added', 'added', 'changed', 'withdrawn'),
  collection: fc.constantFrom('zones', 'teams', 'keys'),
  name: fc.constantFrom('one', 'two', 'three'),
  revision: fc.integer({min: 1, max: 3}),
  team: fc.constantFrom('one', 'two'),
});
const host = fc.nat(HOSTS - 1);

const commands = steps(
  [
    fc
      .tuple(fc.nat(40), fc.array(change, {minLength: 1, maxLength: 3}))
      .map(([id, changes]) =>
        command(`publish ${id} ${JSON.stringify(changes)}`, world =>
          world.publish(`note-${id}`, changes),
        ),
      ),
    fc
      .nat(9)
      .map(index =>
        command(`land ${index}`, ({tape}) => tape.land(index, false)),
      ),
    fc
      .nat(9)
      .map(index =>
        command(`land ${index}`, ({tape}) => tape.land(index, false)),
      ),
    fc
      .nat(9)
      .map(index =>
        command(`double ${index}`, ({tape}) => tape.land(index, true)),
      ),
    fc
      .nat(9)
      .map(index => command(`lose ${index}`, ({tape}) => tape.lose(index))),
    fc.constant(command('malformed', world => world.malformed())),
    host.map(index =>
      command(`snapshot ${index}`, world => world.snapshot(index)),
    ),
    fc.constant(command('expire', world => world.expire())),
    host.map(index => command(`read ${index}`, world => world.read(index))),
    host.map(index => command(`read ${index}`, world => world.read(index))),
    host.map(index => command(`cut ${index}`, world => world.cut.add(index))),
    host.map(index =>
      command(`heal ${index}`, world => world.cut.delete(index)),
    ),
    host.map(index =>
      command(`replace ${index}`, world => world.replace(index)),
    ),
    fc
      .tuple(host, host)
      .map(([from, to]) =>
        command(`relay ${from} ${to}`, world => world.relay(from, to)),
      ),
  ],
  50,
);

function property(faults: Faults) {
  return fc.property(commands, list => {
    const world = new World(faults);
    fc.modelRun(() => ({model: {}, real: world}), list);
    world.settle();
  });
}

test('every host folds the log to what the oracle has', t => {
  holds(t, property({}), 3_000);
});

test('the check notices a newcomer that does not wait for a snapshot', t => {
  isSeenToFail(t, property({hasty: true}), 3_000);
});

const team = {name: 'one', weight: 1};

function noteWith(id: string, parts: object): ReleaseNote {
  return releaseNoteSchema.parse({id, ...parts});
}

test('of two operators who race, the second is rejected whole', t => {
  let configuration = emptyConfiguration();
  const first = noteWith('first', {added: {teams: [team]}});
  ({configuration} = applyNote(configuration, first, 0));
  const raced = {revision: 1, object: {...team, weight: 2}};
  const won = noteWith('won', {changed: {teams: [raced]}});
  const lost = noteWith('lost', {
    changed: {teams: [raced]},
    added: {teams: [{name: 'two'}]},
  });
  ({configuration} = applyNote(configuration, won, 1));
  const {configuration: after, verdict} = applyNote(configuration, lost, 2);
  t.deepEqual(verdict, {
    kind: 'rejected',
    rejection: {reason: 'revision', collection: 'teams', name: 'one'},
  });
  t.false(after.tables.teams.has('two'));
});

test('a withdrawn key is never added again', t => {
  let configuration = emptyConfiguration();
  const key = {name: 'key', team: 'one', digest: digestOf('secret')};
  const notes = [
    noteWith('a', {added: {teams: [team], keys: [key]}}),
    noteWith('b', {withdrawn: {keys: [{name: 'key', revision: 1}]}}),
    noteWith('c', {added: {keys: [key]}}),
  ];
  for (const [offset, note] of notes.entries()) {
    ({configuration} = applyNote(configuration, note, offset));
  }
  t.is(configuration.tables.keys.get('key')?.object, undefined);
});
