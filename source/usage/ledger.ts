/**
 * The usage windows as the log has them. A window of a region is
 * frozen once: the first freeze by offset counts for every reader, if it was
 * made by the holder of the region's lease. Only frozen figures are reported, so
 * a report that is sent again says the same.
 */
import type {Leases} from '../lease/index.js';
import type {LogRecord} from '../platform/index.js';
import type {TeamFigure} from './figures.js';

/** Windows of a region that are kept after they were reported. */
export const WINDOWS_KEPT = 100;

/** Records of the log. */
export type FreezeRecord = Extract<LogRecord, {kind: 'usage-freeze'}>;
export type ReportedRecord = Extract<LogRecord, {kind: 'usage-reported'}>;

/** A frozen window. */
export interface Frozen {
  readonly region: string;
  readonly window: number;
  readonly figures: readonly TeamFigure[];
  /** Which copies the figures are the sum of. */
  readonly includes: FreezeRecord['includes'];
  readonly reported: boolean;
}

/** The windows of one region. */
interface RegionWindows {
  /** No window up to this one can be frozen any more; -1 for none. */
  readonly closedThrough: number;
  readonly windows: ReadonlyMap<number, Frozen>;
}

/** The windows of all availability zones. */
export type UsageLedger = ReadonlyMap<string, RegionWindows>;

/** The lease whose holder freezes and reports a region’s windows. */
export function usageLeaseOf(region: string): string {
  return `usage ${region}`;
}

/** A ledger without windows. */
export function emptyLedger(): UsageLedger {
  return new Map();
}

/** A frozen window, or nothing where it was not frozen. */
export function frozenOf(
  ledger: UsageLedger,
  region: string,
  window: number,
): Frozen | undefined {
  return ledger.get(region)?.windows.get(window);
}

/**
 * The ledger after a freeze. One that is not the first of its window, or not
 * by the holder of the lease, changes nothing.
 *
 * ```ts
 * ledger = foldFreeze(ledger, record, leases);
 * ```
 */
export function foldFreeze(
  before: UsageLedger,
  record: FreezeRecord,
  leases: Leases,
): UsageLedger {
  const {region, holder, fence} = record;
  const standing = leases.get(usageLeaseOf(region));
  if (standing?.holder !== holder || standing.fence !== fence) return before;
  return adoptFreeze(before, record);
}

/**
 * The ledger after a freeze by whoever was entitled to it. One that is not the
 * first of its window changes nothing.
 *
 * ```ts
 * ledger = adoptFreeze(ledger, record);
 * ```
 */
export function adoptFreeze(
  before: UsageLedger,
  record: FreezeRecord,
): UsageLedger {
  const {region, window, figures, includes} = record;
  const present = before.get(region) ?? {closedThrough: -1, windows: new Map()};
  if (window <= present.closedThrough) return before;
  if (present.windows.has(window)) return before;
  const frozen = {region, window, figures, includes, reported: false};
  const windows = new Map(present.windows).set(window, frozen);
  return new Map(before).set(region, {...present, windows});
}

/** The ledger after the note that a window was reported. */
export function foldReported(
  before: UsageLedger,
  {region, window}: ReportedRecord,
): UsageLedger {
  const present = before.get(region);
  const frozen = present?.windows.get(window);
  if (!present || !frozen || frozen.reported) return before;
  const windows = new Map(present.windows).set(window, {
    ...frozen,
    reported: true,
  });
  return new Map(before).set(region, pruned({...present, windows}));
}

/** Forgets the oldest windows that were reported, and all before them. */
function pruned({closedThrough, windows}: RegionWindows): RegionWindows {
  const kept = new Map([...windows].sort(([one], [other]) => one - other));
  let closed = closedThrough;
  for (const [window, {reported}] of kept) {
    if (kept.size <= WINDOWS_KEPT || !reported) break;
    kept.delete(window);
    closed = Math.max(closed, window);
  }
  return {closedThrough: closed, windows: kept};
}
