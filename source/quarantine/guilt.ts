/**
 * Which crashes a suspect is guilty of, and when it is to be blocked. A request is
 * guilty of its crashes unless another suspect that is blocked explains them. A
 * part is guilty only of what no single request, nor two of them, explain: they
 * crash endpoints with any of their parts, which sound requests share.
 */
import {
  SEPARATE_CRASHES_MILLISECONDS,
  type Evidence,
  type Suspicion,
} from './evidence.js';
import {isRequest, type SuspectKey} from './suspect.js';

/** Crashes from which a suspect is blocked. */
export const CRASHES_TO_BLOCK = 3;
/** Crashes from which a request with the suspect is not sent again. */
export const CRASHES_TO_SUSPECT = 2;
/** Share of the endpoints that crashed meanwhile that must have had a part. */
const MIN_CRASH_SHARE = 2 / 3;
/** Requests that may explain the crashes of a part that is to be blocked. */
const MAX_EXPLAINING_REQUESTS = 2;

/** Incarnations of endpoints. */
export type Endpoints = ReadonlySet<string>;

/** The endpoints whose crashes each blocked suspect explains. */
export type Explanations = ReadonlyMap<SuspectKey, Endpoints>;

/** The number of crashes that count against a suspect and nothing else explains. */
export function countCrashes(
  evidence: Evidence,
  key: SuspectKey,
  explanations: Explanations,
): number {
  const {counted = []} = evidence.suspicions.get(key) ?? {};
  const explained = explainedFor(key, explanations);
  return counted.filter(({endpoint}) => !explained.has(endpoint)).length;
}

/** Whether a request with a suspect must not be sent once more. */
export function isTooRisky(
  evidence: Evidence,
  key: SuspectKey,
  explanations: Explanations,
): boolean {
  const crashes = countCrashes(evidence, key, explanations);
  if (crashes < CRASHES_TO_SUSPECT) return false;
  return isRequest(key) || !areExplainedByRequests(evidence, key, 1);
}

/**
 * The suspects to block: all requests that are guilty, or else the part that is.
 * Requests that were always cut together are blocked together; one of which the
 * crashes are a few of another's is not.
 *
 * ```ts
 * for (const key of suspectsToBlock(evidence, explanations)) block(key);
 * ```
 */
export function suspectsToBlock(
  evidence: Evidence,
  explanations: Explanations,
): SuspectKey[] {
  const requests = requestsToBlock(evidence, explanations);
  if (requests.length > 0) return requests;
  const part = partToBlock(evidence, explanations);
  return part === undefined ? [] : [part];
}

/**
 * Whether the crashes of a suspect may have had another cause: other endpoints
 * crashed with one of them, or another blocked suspect was in all of them.
 */
export function isDoubtful(
  evidence: Evidence,
  key: SuspectKey,
  explanations: Explanations,
): boolean {
  const suspicion = evidence.suspicions.get(key);
  if (!suspicion) return true;
  const {counted, endpoints} = suspicion;
  const coincides = [...evidence.crashes].some(
    ([endpoint, at]) =>
      !endpoints.has(endpoint) &&
      counted.some(
        crash => Math.abs(crash.at - at) < SEPARATE_CRASHES_MILLISECONDS,
      ),
  );
  if (coincides) return true;
  const explained = explainedFor(key, explanations);
  return counted.every(({endpoint}) => explained.has(endpoint));
}

/** Whether every endpoint of one set, and not all of the other, is in the other. */
export function isProperSubset(part: Endpoints, whole: Endpoints): boolean {
  if (part.size === 0 || part.size >= whole.size) return false;
  return [...part].every(endpoint => whole.has(endpoint));
}

/**
 * The endpoints whose crashes others than a suspect explain. Requests do not
 * explain those of a part, since each request with it crashes endpoints.
 */
function explainedFor(key: SuspectKey, explanations: Explanations): Endpoints {
  const explained = new Set<string>();
  for (const [other, endpoints] of explanations) {
    if (other === key || (isRequest(other) && !isRequest(key))) continue;
    for (const endpoint of endpoints) explained.add(endpoint);
  }
  return explained;
}

function requestsToBlock(
  evidence: Evidence,
  explanations: Explanations,
): SuspectKey[] {
  const guilty = [...evidence.suspicions].filter(
    ([key]) =>
      isRequest(key) &&
      !explanations.has(key) &&
      countCrashes(evidence, key, explanations) >= CRASHES_TO_BLOCK,
  );
  return guilty
    .filter(
      ([, {endpoints}]) =>
        !guilty.some(([, other]) => isProperSubset(endpoints, other.endpoints)),
    )
    .map(([key]) => key);
}

/**
 * The part to block, if there is one: that with the most crashes, and of equal
 * ones the last in its prompt, which the fewest other requests share.
 */
function partToBlock(
  evidence: Evidence,
  explanations: Explanations,
): SuspectKey | undefined {
  let chosen: SuspectKey | undefined;
  let most = CRASHES_TO_BLOCK - 1;
  let last = -1;
  for (const [key, suspicion] of evidence.suspicions) {
    if (isRequest(key) || explanations.has(key)) continue;
    const {position} = suspicion;
    const count = countCrashes(evidence, key, explanations);
    const isWorse = count > most || (count === most && position > last);
    if (count < CRASHES_TO_BLOCK || !isWorse) continue;
    if (crashShare(evidence, suspicion, explanations) < MIN_CRASH_SHARE)
      continue;
    if (areExplainedByRequests(evidence, key, MAX_EXPLAINING_REQUESTS))
      continue;
    chosen = key;
    most = count;
    last = position;
  }
  return chosen;
}

/**
 * Whether so many suspected requests were in all crashes of a part. Takes the
 * request with the most of the remaining crashes each time.
 */
function areExplainedByRequests(
  {suspicions}: Evidence,
  part: SuspectKey,
  most: number,
): boolean {
  const {counted = []} = suspicions.get(part) ?? {};
  const requests = [...suspicions].filter(([key]) => isRequest(key));
  let remaining = counted.map(({endpoint}) => endpoint);
  for (let number = 0; number < most; number++) {
    const unexplainedBy = requests.map(([, {endpoints}]) =>
      remaining.filter(endpoint => !endpoints.has(endpoint)),
    );
    for (const unexplained of unexplainedBy)
      if (unexplained.length < remaining.length) remaining = unexplained;
  }
  return remaining.length === 0;
}

/**
 * The share of the endpoints that crashed in the time of a part that had it,
 * without those that crashed for another known reason.
 */
function crashShare(
  {crashes}: Evidence,
  {endpoints, firstAt, lastAt}: Suspicion,
  explanations: Explanations,
): number {
  const explained = new Set(
    [...explanations.values()].flatMap(known => [...known]),
  );
  const meanwhile = [...crashes].filter(
    ([endpoint, at]) =>
      at >= firstAt &&
      at <= lastAt &&
      (endpoints.has(endpoint) || !explained.has(endpoint)),
  );
  const withPart = meanwhile.filter(([endpoint]) => endpoints.has(endpoint));
  return withPart.length / Math.max(meanwhile.length, 1);
}
