/**
 * Counts of how attempts ended, by route and by group of endpoints. They are
 * cumulative, so that a lost report is made good by the next one, and bounded.
 */
import * as z from 'zod';

/** Buckets of a histogram, four to an octave. */
const BUCKETS = 48;
const BUCKETS_PER_OCTAVE = 4;
/** The bucket of a duration that equals the target. */
const TARGET_BUCKET = 24;
/** Most lines of a report; attempts of further routes are not counted. */
const MAX_LINES = 96;

/**
 * The endpoints that a line is about: those of other versions, those of the new
 * version if they are few, or one of two halves of them. A fault of one machine shows
 * in one half.
 */
export const groupSchema = z.enum(['old', 'new', 'new-even', 'new-odd']);
export type EvidenceGroup = z.infer<typeof groupSchema>;

/** Endpoints of the new version from which they are counted in halves. */
export const MIN_HALVED_ENDPOINTS = 4;

/** The group of the new version's endpoint at an index among `count` of them. */
export function newGroupAt(index: number, count: number): EvidenceGroup {
  if (count < MIN_HALVED_ENDPOINTS) return 'new';
  return index % 2 === 0 ? 'new-even' : 'new-odd';
}

const bucketsSchema = z.array(z.number().nonnegative()).max(BUCKETS);

/** What is known of one route at one group. */
export const evidenceLineSchema = z.object({
  route: z.string().max(256),
  group: groupSchema,
  answers: z.number().nonnegative(),
  failures: z.number().nonnegative(),
  /** Time to the first event or to the whole answer, against the target. */
  first: bucketsSchema,
  /** Time between events, against the target for pauses. */
  pace: bucketsSchema,
});
export type EvidenceLine = z.infer<typeof evidenceLineSchema>;

export const evidenceSchema = z.array(evidenceLineSchema).max(MAX_LINES);
export type Evidence = readonly EvidenceLine[];

/** How an attempt ended. Durations are multiples of their target. */
export interface AttemptResult {
  readonly route: string;
  readonly group: EvidenceGroup;
  readonly isFailure: boolean;
  readonly first?: number | undefined;
  readonly pace?: number | undefined;
}

/** Collects the results of one host. */
export class EvidenceCounter {
  private readonly lines = new Map<string, MutableLine>();

  /** Counts a result. */
  add({route, group, isFailure, first, pace}: AttemptResult): void {
    const key = `${route}\n${group}`;
    let line = this.lines.get(key);
    if (!line) {
      if (this.lines.size >= MAX_LINES) return;
      line = emptyLine(route, group);
      this.lines.set(key, line);
    }
    line.answers++;
    if (isFailure) line.failures++;
    addTo(line.first, first);
    addTo(line.pace, pace);
  }

  get evidence(): Evidence {
    return [...this.lines.values()].map(line => ({
      ...line,
      first: [...line.first],
      pace: [...line.pace],
    }));
  }
}

interface MutableLine extends EvidenceLine {
  answers: number;
  failures: number;
  first: number[];
  pace: number[];
}

/**
 * The sum of several hosts' evidence.
 *
 * ```ts
 * const total = sumEvidence(reports.map(({evidence}) => evidence));
 * ```
 */
export function sumEvidence(all: readonly Evidence[]): Evidence {
  return combine(all.flat());
}

/** What has been added to evidence since an earlier state of it. */
export function evidenceSince(evidence: Evidence, before: Evidence): Evidence {
  return combine(evidence, before).map(withoutNegative);
}

/** The sum of the lines of some groups for a route; for all if it is undefined. */
export function lineOf(
  evidence: Evidence,
  route: string | undefined,
  groups: readonly EvidenceGroup[],
): EvidenceLine {
  const lines = evidence.filter(
    line =>
      (route === undefined || line.route === route) &&
      groups.includes(line.group),
  );
  const [group = 'old'] = groups;
  const total = emptyLine(route ?? '', group);
  for (const line of lines) addLine(total, line, 1);
  return total;
}

/** Adds up lines of the same route and group, those of `minus` with a minus. */
function combine(
  plus: readonly EvidenceLine[],
  minus: readonly EvidenceLine[] = [],
): Evidence {
  const sums = new Map<string, MutableLine>();
  const add = (line: EvidenceLine, factor: number) => {
    const {route, group} = line;
    const key = `${route}\n${group}`;
    let total = sums.get(key);
    if (!total) sums.set(key, (total = emptyLine(route, group)));
    addLine(total, line, factor);
  };
  for (const line of plus) add(line, 1);
  for (const line of minus) add(line, -1);
  return [...sums.values()];
}

function emptyLine(route: string, group: EvidenceGroup): MutableLine {
  return {route, group, answers: 0, failures: 0, first: [], pace: []};
}

function addLine(
  total: MutableLine,
  {answers, failures, first, pace}: EvidenceLine,
  factor: number,
): void {
  total.answers += answers * factor;
  total.failures += failures * factor;
  addBuckets(total.first, first, factor);
  addBuckets(total.pace, pace, factor);
}

function addBuckets(
  total: number[],
  added: readonly number[],
  factor: number,
): void {
  while (total.length < added.length) total.push(0);
  for (let index = 0; index < added.length; index++)
    total[index] = (total[index] ?? 0) + (added[index] ?? 0) * factor;
}

/** A host that has started anew may have reported more before. */
function withoutNegative(line: EvidenceLine): EvidenceLine {
  const positive = (value: number) => Math.max(value, 0);
  return {
    ...line,
    answers: positive(line.answers),
    failures: positive(line.failures),
    first: line.first.map(positive),
    pace: line.pace.map(positive),
  };
}

function addTo(buckets: number[], ratio: number | undefined): void {
  if (ratio === undefined || !Number.isFinite(ratio)) return;
  const bucket =
    ratio <= 0
      ? 0
      : Math.round(Math.log2(ratio) * BUCKETS_PER_OCTAVE) + TARGET_BUCKET;
  const index = Math.min(Math.max(bucket, 0), BUCKETS - 1);
  while (buckets.length <= index) buckets.push(0);
  buckets[index] = (buckets[index] ?? 0) + 1;
}
