/**
 * A digest of all that is known of a topic, by which hosts find out that they
 * believe different things at the same position. It covers the keys that exist
 * and the offsets of their records, which tell their values.
 */
import {createHash} from 'node:crypto';

import type {KeyedState} from './keyedstate.js';
import {isSameEra} from './restores.js';

/** Hexadecimal digits of a digest. */
const DIGEST_LENGTH = 16;

/** What a host knows of a topic up to a position. */
export interface TopicDigest {
  readonly topic: string;
  readonly position: number;
  /** The store's era; undefined where it is not known. */
  readonly era?: number | undefined;
  readonly digest: string;
}

const digests = new WeakMap<KeyedState, string>();

/**
 * The digest of a state; undefined where it cannot be compared: before the first
 * read, and while newer records than those up to the position are known.
 *
 * ```ts
 * const digest = digestOf(state);
 * ```
 */
export function digestOf(state: KeyedState): string | undefined {
  const {next} = state;
  if (next === undefined) return undefined;
  const known = digests.get(state);
  if (known !== undefined) return known;
  const records = [...state.records.values()];
  if (records.some(({offset}) => offset >= next)) return undefined;
  const present = records.filter(({value}) => value !== undefined);
  present.sort((one, other) => one.offset - other.offset);
  const hash = createHash('sha256');
  for (const {key, offset} of present) hash.update(`${offset} ${key}\n`);
  const digest = hash.digest('hex').slice(0, DIGEST_LENGTH);
  digests.set(state, digest);
  return digest;
}

/**
 * Whether a state differs from another host's at the same position. False where
 * the positions differ, as the two are then out of step anyway.
 *
 * ```ts
 * if (differs(state, report)) readAnew();
 * ```
 */
export function differs(state: KeyedState, other: TopicDigest): boolean {
  if (state.next !== other.position) return false;
  if (!isSameEra(state.era, other.era)) return false;
  const digest = digestOf(state);
  return digest !== undefined && digest !== other.digest;
}
