/**
 * Authenticates callers. An API key is hashed at once and looked up by its
 * digest, so that modules which handle the request afterwards never hold a key,
 * only its name and team.
 */
import {
  digestOf,
  type Configuration,
  type Key,
} from '../configuration/index.js';
import {Refusal} from '../errors/index.js';

/** The team of callers that use an open route without a valid API key. */
export const ANONYMOUS_TEAM = 'anonymous';

const BEARER = /^Bearer +([\w.~+/=-]{8,512})$/i;

/** A caller, identified by its team and the name of its API key. */
export interface Caller {
  readonly team: string;
  /** The team's weight, as the configuration has it. */
  readonly weight: number;
  /** Undefined for a caller of an open route that has no valid key. */
  readonly key: string | undefined;
}

/**
 * Returns the API key of an Authorization header; undefined if the header is
 * absent or has no well-formed bearer token.
 */
export function parseBearerToken(
  authorization: string | undefined,
): string | undefined {
  if (authorization === undefined) return undefined;
  return BEARER.exec(authorization)?.[1];
}

interface KeyEntry {
  readonly name: string;
  /** Undefined if the key was withdrawn. */
  readonly key: Key | undefined;
}

/**
 * Authenticates callers against the API keys of one configuration.
 *
 * ```ts
 * const caller = new Authenticator(configuration).authenticate(bearer);
 * ```
 */
export class Authenticator {
  private readonly byDigest = new Map<string, KeyEntry>();

  constructor(private readonly configuration: Configuration) {
    for (const [name, {object, withdrawn}] of configuration.tables.keys) {
      const latest = object ?? withdrawn;
      if (latest) this.byDigest.set(latest.digest, {name, key: object});
    }
  }

  /**
   * Returns the caller with an API key. Throws a Refusal if the key is missing,
   * unknown or withdrawn, or if its team is withdrawn.
   *
   * ```ts
   * const key = parseBearerToken(headers.authorization);
   * const {team} = authenticator.authenticate(key);
   * ```
   */
  authenticate(bearer: string | undefined): Caller {
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

  /**
   * Returns the caller of an open route: the team of the API key if it is
   * valid, otherwise ANONYMOUS_TEAM with weight 1.
   */
  authenticateOptional(bearer: string | undefined): Caller {
    try {
      return this.authenticate(bearer);
    } catch (error) {
      if (!(error instanceof Refusal)) throw error;
      return {team: ANONYMOUS_TEAM, weight: 1, key: undefined};
    }
  }
}
