/**
 * The configuration is a pure fold over the platform's log. Every host folds
 * the same notes in the same order, so all accept and reject the same ones and
 * nobody has to announce the result. A withdrawn object leaves a tombstone, so
 * that neither a late note nor an old snapshot can bring it back.
 */
import * as z from 'zod';

import {digestOf} from './digest.js';
import type {ReleaseNote} from './note.js';
import {
  classSchema,
  COLLECTIONS,
  endpointSchema,
  keySchema,
  routeSchema,
  teamSchema,
  zoneSchema,
  type Collection,
  type ObjectOf,
} from './objects.js';

/** An object with its revision; a tombstone has only what was withdrawn. */
export interface Versioned<T> {
  readonly revision: number;
  readonly object: T | undefined;
  readonly withdrawn?: T | undefined;
}

type Table<T> = ReadonlyMap<string, Versioned<T>>;

/** What is in force after the note at `offset`. */
export interface Configuration {
  readonly offset: number;
  readonly tables: {readonly [C in Collection]: Table<ObjectOf[C]>};
  /** Ids of notes with the offset at which each was decided. */
  readonly decided: ReadonlyMap<string, number>;
  readonly digest: string;
}

/** Why a note was rejected, in a form that programs can tell apart. */
export interface NoteRejection {
  readonly reason:
    | 'exists'
    | 'missing'
    | 'revision'
    | 'reference'
    | 'key-reused'
    | 'ambiguous';
  readonly collection: Collection;
  readonly name: string;
}

/** What became of a note. */
export type NoteVerdict =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'repeated'}
  | {readonly kind: 'rejected'; readonly rejection: NoteRejection};

type MutableTables = {
  [C in Collection]: Map<string, Versioned<ObjectOf[C]>>;
};

/** A configuration that nothing has been added to. */
export function emptyConfiguration(): Configuration {
  return {
    offset: -1,
    tables: {
      zones: new Map(),
      teams: new Map(),
      keys: new Map(),
      classes: new Map(),
      routes: new Map(),
      endpoints: new Map(),
    },
    decided: new Map(),
    digest: digestOf(''),
  };
}

class Rejected extends Error {
  constructor(readonly rejection: NoteRejection) {
    super(rejection.reason);
  }
}

function reject(
  reason: NoteRejection['reason'],
  collection: Collection,
  name: string,
): never {
  throw new Rejected({reason, collection, name});
}

/**
 * The configuration after a note at an offset. A rejected note changes nothing
 * but the offset and the list of decided ids.
 *
 * ```ts
 * const {configuration, verdict} = applyNote(before, note, 42);
 * ```
 */
export function applyNote(
  before: Configuration,
  note: ReleaseNote,
  offset: number,
): {configuration: Configuration; verdict: NoteVerdict} {
  if (offset <= before.offset || before.decided.has(note.id)) {
    return {configuration: before, verdict: {kind: 'repeated'}};
  }
  const decided = new Map(before.decided).set(note.id, offset);
  try {
    const tables = changedTables(before, note);
    checkReferences(tables);
    const digest = digestOf(before.digest + JSON.stringify(note));
    const configuration = {offset, tables, decided, digest};
    return {configuration, verdict: {kind: 'accepted'}};
  } catch (error) {
    if (!(error instanceof Rejected)) throw error;
    return {
      configuration: {...before, offset, decided},
      verdict: {kind: 'rejected', rejection: error.rejection},
    };
  }
}

function changedTables(
  before: Configuration,
  note: ReleaseNote,
): MutableTables {
  const tables: MutableTables = {
    zones: new Map(before.tables.zones),
    teams: new Map(before.tables.teams),
    keys: new Map(before.tables.keys),
    classes: new Map(before.tables.classes),
    routes: new Map(before.tables.routes),
    endpoints: new Map(before.tables.endpoints),
  };
  for (const collection of COLLECTIONS) changeTable(tables, note, collection);
  return tables;
}

function changeTable<C extends Collection>(
  tables: MutableTables,
  note: ReleaseNote,
  collection: C,
): void {
  const table = tables[collection] as Map<string, Versioned<ObjectOf[C]>>;
  const touched = new Set<string>();
  const touch = (name: string) => {
    if (touched.has(name)) reject('ambiguous', collection, name);
    touched.add(name);
  };
  for (const {name, revision} of note.withdrawn[collection]) {
    touch(name);
    expectRevision(table, collection, name, revision);
    const withdrawn = table.get(name)?.object;
    table.set(name, {revision: revision + 1, object: undefined, withdrawn});
  }
  for (const {revision, object} of note.changed[collection]) {
    touch(object.name);
    expectRevision(table, collection, object.name, revision);
    table.set(object.name, {
      revision: revision + 1,
      object: object as ObjectOf[C],
    });
  }
  for (const object of note.added[collection]) {
    touch(object.name);
    addObject(table, collection, object as ObjectOf[C]);
  }
}

function expectRevision<T>(
  table: Table<T>,
  collection: Collection,
  name: string,
  revision: number,
): void {
  const present = table.get(name);
  if (!present?.object) reject('missing', collection, name);
  if (present.revision !== revision) reject('revision', collection, name);
}

function addObject<C extends Collection>(
  table: Map<string, Versioned<ObjectOf[C]>>,
  collection: C,
  object: ObjectOf[C],
): void {
  const present = table.get(object.name);
  if (present?.object) reject('exists', collection, object.name);
  if (present && collection === 'keys') {
    reject('key-reused', collection, object.name);
  }
  const revision = (present?.revision ?? 0) + 1;
  table.set(object.name, {revision, object});
}

function live<T>(table: Table<T>): T[] {
  return [...table.values()].flatMap(({object}) => object ?? []);
}

function checkReferences(tables: MutableTables): void {
  checkKeys(tables);
  for (const route of live(tables.routes)) {
    if (!tables.classes.get(route.class)?.object) {
      reject('reference', 'routes', route.name);
    }
  }
  for (const endpoint of live(tables.endpoints)) {
    if (!tables.zones.get(endpoint.zone)?.object) {
      reject('reference', 'endpoints', endpoint.name);
    }
  }
}

function checkKeys(tables: MutableTables): void {
  const digests = new Set<string>();
  for (const {withdrawn} of tables.keys.values()) {
    if (withdrawn) digests.add(withdrawn.digest);
  }
  for (const key of live(tables.keys)) {
    if (!tables.teams.has(key.team)) reject('reference', 'keys', key.name);
    if (digests.has(key.digest)) reject('key-reused', 'keys', key.name);
    digests.add(key.digest);
  }
}

function versioned<Schema extends z.ZodType>(object: Schema) {
  return z.array(
    z.object({
      name: z.string(),
      revision: z.number().int().positive(),
      object: object.optional(),
      withdrawn: object.optional(),
    }),
  );
}

/** A whole configuration, as it stands in the log. */
export const configurationSnapshotSchema = z.object({
  offset: z.number().int(),
  digest: z.string(),
  decided: z.array(z.object({id: z.string(), offset: z.number().int()})),
  tables: z.object({
    zones: versioned(zoneSchema),
    teams: versioned(teamSchema),
    keys: versioned(keySchema),
    classes: versioned(classSchema),
    routes: versioned(routeSchema),
    endpoints: versioned(endpointSchema),
  }),
});
export type ConfigurationSnapshot = z.infer<typeof configurationSnapshotSchema>;

function listed<T>(table: Table<T>) {
  return [...table].map(([name, versioned]) => ({name, ...versioned}));
}

/**
 * The snapshot of a configuration, for the log.
 *
 * ```ts
 * await log.append([{kind: 'snapshot', snapshot: snapshotOf(configuration)}]);
 * ```
 */
export function snapshotOf(from: Configuration): ConfigurationSnapshot {
  const {tables} = from;
  return {
    offset: from.offset,
    digest: from.digest,
    decided: [...from.decided].map(([id, offset]) => ({id, offset})),
    tables: {
      zones: listed(tables.zones),
      teams: listed(tables.teams),
      keys: listed(tables.keys),
      classes: listed(tables.classes),
      routes: listed(tables.routes),
      endpoints: listed(tables.endpoints),
    },
  };
}

interface ListedObject<T> {
  readonly name: string;
  readonly revision: number;
  readonly object?: T | undefined;
  readonly withdrawn?: T | undefined;
}

function tableFrom<T>(entries: ReadonlyArray<ListedObject<T>>): Table<T> {
  return new Map(
    entries.map(({name, revision, object, withdrawn}) => [
      name,
      {revision, object, withdrawn},
    ]),
  );
}

/**
 * The configuration after a snapshot. One that covers no more than is already
 * applied is passed over, so a late one never goes backward.
 *
 * ```ts
 * const after = applySnapshot(emptyConfiguration(), snapshot);
 * ```
 */
export function applySnapshot(
  before: Configuration,
  snapshot: ConfigurationSnapshot,
): Configuration {
  if (snapshot.offset <= before.offset) return before;
  const {tables} = snapshot;
  return {
    offset: snapshot.offset,
    digest: snapshot.digest,
    decided: new Map(snapshot.decided.map(({id, offset}) => [id, offset])),
    tables: {
      zones: tableFrom(tables.zones),
      teams: tableFrom(tables.teams),
      keys: tableFrom(tables.keys),
      classes: tableFrom(tables.classes),
      routes: tableFrom(tables.routes),
      endpoints: tableFrom(tables.endpoints),
    },
  };
}
