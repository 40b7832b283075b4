/**
 * The evidence for each prompt part that it crashes endpoints, as an immutable
 * value. A part is suspected by the crashes that cut its requests before their
 * answers had begun, and cleared as soon as an answer with it begins, since the
 * part at fault never gets that far.
 *
 * In an outage requests with a part that many share are cut at one endpoint after
 * the other. So a crash counts against a part only if the request with it was
 * sent after the crash that was counted before it, and a part is blocked only if
 * most of the endpoints that crashed meanwhile crashed with it.
 */

/** A part of a request that a crash cut before its answer had begun. */
export interface Suspect {
  readonly part: string;
  /** Monotonic milliseconds at which its request was sent to the endpoint. */
  readonly sentAt: number;
  /** Index of the part in its prompt. */
  readonly position: number;
}

/** The crash of one incarnation of an endpoint. */
export interface SuspectedCrash {
  readonly endpoint: string;
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly suspects: readonly Suspect[];
}

/** What speaks against one part. */
interface Suspicion {
  /** The endpoints whose crashes count. */
  readonly counted: readonly string[];
  /** All endpoints that crashed with the part, counted or not. */
  readonly endpoints: ReadonlySet<string>;
  /** Monotonic milliseconds of the last crash that counts. */
  readonly lastAt: number;
  /** Monotonic milliseconds of the first one. */
  readonly firstAt: number;
  readonly position: number;
}

/** The evidence of a host. */
export interface Evidence {
  /** Suspicions by part, the one that changed last at the end. */
  readonly suspicions: ReadonlyMap<string, Suspicion>;
  /** Monotonic milliseconds of all crashes, by endpoint, the oldest first. */
  readonly crashes: ReadonlyMap<string, number>;
}

/** Evidence against nothing. */
export const NO_EVIDENCE: Evidence = {
  suspicions: new Map(),
  crashes: new Map(),
};

/** Crashes from which a part is blocked. */
export const CRASHES_TO_BLOCK = 3;
/** Crashes from which a request with the part is not sent again. */
export const CRASHES_TO_SUSPECT = 2;
/** Share of the endpoints that crashed meanwhile that must have had the part. */
const MIN_CRASH_SHARE = 2 / 3;
/** Time without another crash after which a suspicion is dropped. */
const SUSPICION_MILLISECONDS = 60_000;
/** Parts that are suspected at most; beyond that the oldest are dropped. */
const MAX_SUSPICIONS = 2_048;
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
    const suspicion = withCrash(suspicions.get(suspect.part), crash, suspect);
    suspicions.delete(suspect.part);
    suspicions.set(suspect.part, suspicion);
  }
  dropOldest(suspicions, MAX_SUSPICIONS, ({lastAt}) => lastAt, crash.at);
  const crashes = new Map(before.crashes);
  if (!crashes.has(crash.endpoint)) crashes.set(crash.endpoint, crash.at);
  dropOldest(crashes, MAX_CRASHES, at => at, crash.at);
  return {suspicions, crashes};
}

/**
 * The evidence after an answer with a part has begun at a monotonic time. The
 * same value if no earlier crash speaks against the part.
 */
export function clearPart(
  before: Evidence,
  part: string,
  begunAt: number,
): Evidence {
  const suspicion = before.suspicions.get(part);
  if (!suspicion || suspicion.lastAt > begunAt) return before;
  const suspicions = new Map(before.suspicions);
  suspicions.delete(part);
  return {...before, suspicions};
}

/** Whether a crash speaks against a part. */
export function isSuspected({suspicions}: Evidence, part: string): boolean {
  return suspicions.has(part);
}

/**
 * The number of crashes that count against a part, without those of endpoints
 * that another part explains.
 */
export function countCrashes(
  evidence: Evidence,
  part: string,
  explained: ReadonlySet<string>,
): number {
  const {counted = []} = evidence.suspicions.get(part) ?? {};
  return counted.filter(endpoint => !explained.has(endpoint)).length;
}

/** All endpoints that crashed with a part. */
export function crashedWith(
  {suspicions}: Evidence,
  part: string,
): ReadonlySet<string> {
  return suspicions.get(part)?.endpoints ?? new Set();
}

/**
 * The part to block, if there is one: that with the most crashes, and of equal
 * ones the last in its prompt, which the fewest other requests share.
 */
export function partToBlock(
  evidence: Evidence,
  explained: ReadonlySet<string>,
): string | undefined {
  let chosen: string | undefined;
  let most = CRASHES_TO_BLOCK - 1;
  let last = -1;
  for (const [part, suspicion] of evidence.suspicions) {
    const {position} = suspicion;
    const count = countCrashes(evidence, part, explained);
    const isWorse = count > most || (count === most && position > last);
    if (count < CRASHES_TO_BLOCK || !isWorse) continue;
    if (crashShare(evidence, suspicion) < MIN_CRASH_SHARE) continue;
    chosen = part;
    most = count;
    last = position;
  }
  return chosen;
}

function withCrash(
  before: Suspicion | undefined,
  {endpoint, at}: SuspectedCrash,
  {sentAt, position}: Suspect,
): Suspicion {
  if (!before) {
    const endpoints = new Set([endpoint]);
    const counted = [endpoint];
    return {counted, endpoints, firstAt: at, lastAt: at, position};
  }
  const endpoints = new Set(before.endpoints).add(endpoint);
  const isCounted = before.counted.includes(endpoint);
  if (isCounted || sentAt < before.lastAt) return {...before, endpoints};
  return {
    counted: [...before.counted, endpoint],
    endpoints,
    firstAt: before.firstAt,
    lastAt: at,
    position: Math.max(before.position, position),
  };
}

/** The share of the endpoints that crashed in its time that had the part. */
function crashShare(
  {crashes}: Evidence,
  {endpoints, firstAt, lastAt}: Suspicion,
): number {
  const meanwhile = [...crashes].filter(
    ([, at]) => at >= firstAt && at <= lastAt,
  );
  const withPart = meanwhile.filter(([endpoint]) => endpoints.has(endpoint));
  return withPart.length / Math.max(meanwhile.length, 1);
}

/** Drops the entries that are too old, and the first ones beyond a number. */
function dropOldest<Entry>(
  entries: Map<string, Entry>,
  most: number,
  timeOf: (entry: Entry) => number,
  now: number,
): void {
  for (const [key, entry] of entries) {
    const isExpired = now - timeOf(entry) > SUSPICION_MILLISECONDS;
    if (isExpired || entries.size > most) entries.delete(key);
  }
}
