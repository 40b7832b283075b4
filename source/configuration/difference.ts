/**
 * What one configuration withdraws from another. The host ends or moves the
 * requests that depend on it, in the same turn in which the note is applied.
 */
import type {Configuration} from './state.js';
import type {Collection} from './objects.js';

/** An object that was in force and no longer is, or was replaced. */
export interface Withdrawal {
  readonly collection: Collection;
  readonly name: string;
}

/**
 * The objects of `before` that `after` has withdrawn. A zone that was taken
 * out counts as withdrawn, and a key that moved to another team does too.
 *
 * ```ts
 * for (const withdrawal of difference(before, after)) end(withdrawal);
 * ```
 */
export function difference(
  before: Configuration,
  after: Configuration,
): Withdrawal[] {
  return [
    ...removed(before, after, 'teams'),
    ...removed(before, after, 'routes'),
    ...removed(before, after, 'endpoints'),
    ...removed(before, after, 'classes'),
    ...keysRemoved(before, after),
    ...zonesOut(before, after),
  ];
}

function removed(
  before: Configuration,
  after: Configuration,
  collection: Collection,
): Withdrawal[] {
  const found: Withdrawal[] = [];
  for (const [name, {object}] of before.tables[collection]) {
    if (object && !after.tables[collection].get(name)?.object) {
      found.push({collection, name});
    }
  }
  return found;
}

function keysRemoved(
  before: Configuration,
  after: Configuration,
): Withdrawal[] {
  const found: Withdrawal[] = [];
  for (const [name, {object}] of before.tables.keys) {
    if (!object) continue;
    const now = after.tables.keys.get(name)?.object;
    const same = now?.digest === object.digest && now.team === object.team;
    if (!same) found.push({collection: 'keys', name});
  }
  return found;
}

function zonesOut(before: Configuration, after: Configuration): Withdrawal[] {
  const found: Withdrawal[] = [];
  for (const [name, {object}] of before.tables.zones) {
    const wasIn = object?.state === 'in';
    const isIn = after.tables.zones.get(name)?.object?.state === 'in';
    if (wasIn && !isIn) found.push({collection: 'zones', name});
  }
  return found;
}
