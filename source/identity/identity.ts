/**
 * Who a caller is. A key is turned into its digest at once and looked up by
 * that, so no module behind this one ever holds a key.
 */
import {
  digestOf,
  type Configuration,
  type Key,
} from '../configuration/index.js';
import {Refusal} from '../errors/index.js';

/** The team of callers that use an open route without a key. */
export const ANONYMOUS_TEAM = 'anonymous';

const BEARER = /^Bearer +([\w.~+/=-]{8,512})$/i;

/** A caller, known by its team and the name of its key. */
export interface Caller {
  readonly team: string;
  readonly weight: number;
  /** Absent for a caller of an open route that has no valid key. */
  readonly key: string | undefined;
}

/** The key of an Authorization header, or nothing where there is none. */
export function bearerOf(
  authorization: string | undefined,
): string | undefined {
  if (authorization === undefined) return undefined;
  return BEARER.exec(authorization)?.[1];
}

interface KeyEntry {
  readonly name: string;
  readonly key: Key | undefined;
}

/**
 * The keys of one configuration, by digest.
 *
 * ```ts
 * const caller = new Identities(configuration).identify(bearer);
 * ```
 */
export class Identities {
  private readonly byDigest = new Map<string, KeyEntry>();

  constructor(private readonly configuration: Configuration) {
    for (const [name, {object, withdrawn}] of configuration.tables.keys) {
      const known = object ?? withdrawn;
      if (known) this.byDigest.set(known.digest, {name, key: object});
    }
  }

  /**
   * The caller that a key stands for. Throws a Refusal.
   *
   * ```ts
   * const {team} = identities.identify(bearerOf(headers.authorization));
   * ```
   */
  identify(bearer: string | undefined): Caller {
    if (bearer === undefined) {
      throw new Refusal('key-missing', 'not-run', 'a key is required');
    }
    const entry = this.byDigest.get(digestOf(bearer));
    if (!entry) throw new Refusal('key-unknown', 'not-run', 'unknown key');
    if (!entry.key)
      throw new Refusal('key-withdrawn', 'not-run', 'withdrawn key');
    const team = this.configuration.tables.teams.get(entry.key.team)?.object;
    if (!team) throw new Refusal('team-withdrawn', 'not-run', 'withdrawn team');
    return {team: team.name, weight: team.weight, key: entry.name};
  }

  /** The caller of an open route: its team if the key is valid, else nobody. */
  identifyOpen(bearer: string | undefined): Caller {
    try {
      return this.identify(bearer);
    } catch (error) {
      if (!(error instanceof Refusal)) throw error;
      return {team: ANONYMOUS_TEAM, weight: 1, key: undefined};
    }
  }
}
