/** The release notes behind the tool's short commands. */
import {randomBytes, randomUUID} from 'node:crypto';

import {
  digestOf,
  releaseNoteSchema,
  type Configuration,
  type ReleaseNote,
  type Zone,
} from '../configuration/index.js';
import {OperatorError} from './failure.js';

/** A key that was just made; its text is shown once and kept nowhere. */
export interface NewKey {
  readonly text: string;
  readonly digest: string;
}

const KEY_BYTES = 24;

/** Makes a key. */
export function createKey(): NewKey {
  const text = `ask-${randomBytes(KEY_BYTES).toString('base64url')}`;
  return {text, digest: digestOf(text)};
}

/** The note that adds a key to a team. */
export function addKey(
  name: string,
  team: string,
  digest: string,
): ReleaseNote {
  return releaseNoteSchema.parse({
    id: `key-create-${randomUUID()}`,
    added: {keys: [{name, team, digest}]},
  });
}

/** The note that withdraws a key. Throws an OperatorError. */
export function withdrawKey(
  configuration: Configuration,
  name: string,
): ReleaseNote {
  const present = configuration.tables.keys.get(name);
  if (!present?.object) throw new OperatorError('missing', `no key ${name}`);
  const {revision} = present;
  return releaseNoteSchema.parse({
    id: `key-withdraw-${randomUUID()}`,
    withdrawn: {keys: [{name, revision}]},
  });
}

/**
 * The note that takes an availability zone out or brings it back. Throws an
 * OperatorError.
 *
 * ```ts
 * await publish(platform, changeZone(configuration, 'catania', 'out'));
 * ```
 */
export function changeZone(
  configuration: Configuration,
  name: string,
  state: Zone['state'],
): ReleaseNote {
  const present = configuration.tables.zones.get(name);
  if (!present?.object) throw new OperatorError('missing', `no zone ${name}`);
  const {revision} = present;
  return releaseNoteSchema.parse({
    id: `zone-${state}-${randomUUID()}`,
    changed: {zones: [{revision, object: {...present.object, state}}]},
  });
}
