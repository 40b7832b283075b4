/**
 * The evidence for each prompt part that it crashes endpoints, as an immutable
 * value. A part is suspected by the crashes that cut its requests before their
 * answers had begun, and cleared as soon as an answer with it begins, since the
 * part at fault never gets that far.
 *
 * Endpoints that fail together, as when a zone loses power, are one event: a
 * crash counts against a part only if the request with it was sent after the
 * crash that was counted before it.
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
  readonly position: number;
}

/** Suspicions by part, the one that changed last at the end. */
export type Evidence = ReadonlyMap<string, Suspicion>;

/** Evidence against nothing. */
export const NO_EVIDENCE: Evidence = new Map();

/** Crashes from which a part is blocked. */
export const CRASHES_TO_BLOCK = 3;
/** Crashes from which a request with the part is not sent again. */
export const CRASHES_TO_SUSPECT = 2;
/** Time without another crash after which a suspicion is dropped. */
const SUSPICION_MILLISECONDS = 60_000;
/** Parts that are suspected at most; beyond that the oldest are dropped. */
const MAX_SUSPICIONS = 2_048;

/**
 * The evidence after a crash, or after one more report of a known crash.
 *
 * ```ts
 * evidence = addCrash(evidence, {endpoint: 'engine-3 17', at: now, suspects});
 * ```
 */
export function addCrash(before: Evidence, crash: SuspectedCrash): Evidence {
  const after = new Map(before);
  for (const suspect of crash.suspects) {
    const suspicion = withCrash(after.get(suspect.part), crash, suspect);
    after.delete(suspect.part);
    after.set(suspect.part, suspicion);
  }
  for (const [part, {lastAt}] of after) {
    const isExpired = crash.at - lastAt > SUSPICION_MILLISECONDS;
    if (isExpired || after.size > MAX_SUSPICIONS) after.delete(part);
  }
  return after;
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
  const suspicion = before.get(part);
  if (!suspicion || suspicion.lastAt > begunAt) return before;
  const after = new Map(before);
  after.delete(part);
  return after;
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
  const {counted = []} = evidence.get(part) ?? {};
  return counted.filter(endpoint => !explained.has(endpoint)).length;
}

/** All endpoints that crashed with a part. */
export function crashedWith(
  evidence: Evidence,
  part: string,
): ReadonlySet<string> {
  return evidence.get(part)?.endpoints ?? new Set();
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
  for (const [part, {position}] of evidence) {
    const count = countCrashes(evidence, part, explained);
    const isWorse = count > most || (count === most && position > last);
    if (count < CRASHES_TO_BLOCK || !isWorse) continue;
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
    return {counted: [endpoint], endpoints, lastAt: at, position};
  }
  const endpoints = new Set(before.endpoints).add(endpoint);
  const isCounted = before.counted.includes(endpoint);
  if (isCounted || sentAt < before.lastAt) return {...before, endpoints};
  return {
    counted: [...before.counted, endpoint],
    endpoints,
    lastAt: at,
    position: Math.max(before.position, position),
  };
}
