/**
 * The evidence for each suspect that it crashes endpoints, as an immutable value.
 * A suspect is held to account for the crashes that cut its requests before their
 * answers had begun, and cleared as soon as an answer with it begins, since what
 * is at fault never gets that far.
 *
 * Requests are cut by crashes that others cause: in an outage, or by a request
 * that waits at the same endpoint. What counts against a request and against a
 * part is in guilt.ts.
 */
import {isRequest, type SuspectKey} from './suspect.js';

/** A suspect whose request a crash cut before its answer had begun. */
export interface SuspectSend {
  readonly key: SuspectKey;
  /** Monotonic milliseconds at which its request was sent to the endpoint. */
  readonly sentAt: number;
  /** Index of a part in its prompt; 0 for a request. */
  readonly position: number;
  /** Name of the team whose request it is; empty for a part. */
  readonly team: string;
}

/** The crash of one incarnation of an endpoint. */
export interface SuspectedCrash {
  readonly endpoint: string;
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly suspects: readonly SuspectSend[];
}

/** A crash that counts against a suspect. */
export interface CountedCrash {
  readonly endpoint: string;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** What speaks against one suspect. */
export interface Suspicion {
  /** The crashes that count, in the order in which they were found. */
  readonly counted: readonly CountedCrash[];
  /** All endpoints that crashed with the suspect, counted or not. */
  readonly endpoints: ReadonlySet<string>;
  /** Monotonic milliseconds of the last crash that counts. */
  readonly lastAt: number;
  /** Monotonic milliseconds of the first one. */
  readonly firstAt: number;
  readonly position: number;
  readonly team: string;
}

/** The evidence of a host. */
export interface Evidence {
  /** Suspicions by suspect, the one that changed last at the end. */
  readonly suspicions: ReadonlyMap<SuspectKey, Suspicion>;
  /** Monotonic milliseconds of all crashes, by endpoint, the oldest first. */
  readonly crashes: ReadonlyMap<string, number>;
}

/** Evidence against nothing. */
export const NO_EVIDENCE: Evidence = {
  suspicions: new Map(),
  crashes: new Map(),
};

/** Time without another crash after which a suspicion is dropped. */
export const SUSPICION_MILLISECONDS = 60_000;
/**
 * Milliseconds by which crashes of copies of one request at several endpoints
 * differ that do not belong to one outage.
 */
export const SEPARATE_CRASHES_MILLISECONDS = 250;
/** Suspects that are kept at most; beyond that the oldest are dropped. */
const MAX_SUSPICIONS = 4_096;
/** Requests of one team among them, so that no team displaces the others. */
const MAX_SUSPECTED_REQUESTS_OF_TEAM = 256;
/** Crashes that are kept at most; beyond that the oldest are dropped. */
const MAX_CRASHES = 512;

/**
 * The evidence after a crash, or after one more report of a known crash.
 *
 * ```ts
 * evidence = addCrash(evidence, {endpoint: 'engine-3 17', at: now, suspects});
 * ```
 */
export function addCrash(before: Evidence, crash: SuspectedCrash): Evidence {
  const suspicions = new Map(before.suspicions);
  for (const suspect of crash.suspects) {
    const suspicion = withCrash(suspicions.get(suspect.key), crash, suspect);
    suspicions.delete(suspect.key);
    suspicions.set(suspect.key, suspicion);
  }
  for (const team of new Set(crash.suspects.map(({team}) => team)))
    dropOldestOfTeam(suspicions, team);
  dropOldest(suspicions, MAX_SUSPICIONS, ({lastAt}) => lastAt, crash.at);
  const crashes = new Map(before.crashes);
  if (!crashes.has(crash.endpoint)) crashes.set(crash.endpoint, crash.at);
  dropOldest(crashes, MAX_CRASHES, at => at, crash.at);
  return {suspicions, crashes};
}

/**
 * The evidence after an answer with a suspect has begun at a monotonic time. The
 * same value if no earlier crash speaks against the suspect.
 */
export function clearSuspect(
  before: Evidence,
  key: SuspectKey,
  begunAt: number,
): Evidence {
  const suspicion = before.suspicions.get(key);
  if (!suspicion || suspicion.lastAt > begunAt) return before;
  const suspicions = new Map(before.suspicions);
  suspicions.delete(key);
  return {...before, suspicions};
}

/** Whether a crash speaks against a suspect. */
export function isSuspected({suspicions}: Evidence, key: SuspectKey): boolean {
  return suspicions.has(key);
}

/** All endpoints that crashed with a suspect. */
export function crashedWith(
  {suspicions}: Evidence,
  key: SuspectKey,
): ReadonlySet<string> {
  return suspicions.get(key)?.endpoints ?? new Set();
}

function withCrash(
  before: Suspicion | undefined,
  {endpoint, at}: SuspectedCrash,
  suspect: SuspectSend,
): Suspicion {
  const {position, team} = suspect;
  if (!before) {
    const endpoints = new Set([endpoint]);
    const counted = [{endpoint, at}];
    return {counted, endpoints, firstAt: at, lastAt: at, position, team};
  }
  const endpoints = new Set(before.endpoints).add(endpoint);
  if (!isAnotherCrash(before, {endpoint, at}, suspect))
    return {...before, endpoints};
  return {
    counted: [...before.counted, {endpoint, at}],
    endpoints,
    firstAt: Math.min(before.firstAt, at),
    lastAt: Math.max(before.lastAt, at),
    position: Math.max(before.position, position),
    team,
  };
}

/**
 * Whether a crash counts beside those that count already. Many requests share a
 * part, so only one that was sent after the last crash tells more of it. Of a
 * request there are few copies: each tells more unless an outage has cut several
 * at once.
 */
function isAnotherCrash(
  {counted, lastAt}: Suspicion,
  {endpoint, at}: CountedCrash,
  {key, sentAt}: SuspectSend,
): boolean {
  if (counted.some(known => known.endpoint === endpoint)) return false;
  if (sentAt >= lastAt) return true;
  if (!isRequest(key)) return false;
  return counted.every(
    known => Math.abs(at - known.at) >= SEPARATE_CRASHES_MILLISECONDS,
  );
}

/** Drops the first suspected requests of a team that are beyond its share. */
function dropOldestOfTeam(
  suspicions: Map<SuspectKey, Suspicion>,
  team: string,
): void {
  if (suspicions.size <= MAX_SUSPECTED_REQUESTS_OF_TEAM) return;
  const ofTeam = [...suspicions].filter(
    ([key, suspicion]) => isRequest(key) && suspicion.team === team,
  );
  const excess = ofTeam.length - MAX_SUSPECTED_REQUESTS_OF_TEAM;
  for (const [key] of ofTeam.slice(0, Math.max(excess, 0)))
    suspicions.delete(key);
}

/** Drops the entries that are too old, and the first ones beyond a number. */
function dropOldest<Key, Entry>(
  entries: Map<Key, Entry>,
  most: number,
  timeOf: (entry: Entry) => number,
  now: number,
): void {
  for (const [key, entry] of entries) {
    const isExpired = now - timeOf(entry) > SUSPICION_MILLISECONDS;
    if (isExpired || entries.size > most) entries.delete(key);
  }
}
