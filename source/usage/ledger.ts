/**
 * The frozen usage windows, as they follow from the log. A window of a region
 * is frozen once: the first freeze record by offset is valid for every reader,
 * if the holder of the region's lease wrote it. Only frozen figures are
 * reported, so a report that is sent again has the same content.
 */
import type {Leases} from '../lease/index.js';
import type {LogRecord} from '../platform/index.js';
import type {TeamUsage} from './totals.js';

/**
 * Frozen windows that are kept per region. Beyond this number, the oldest are
 * removed once they were reported.
 */
export const RETAINED_WINDOWS = 100;

/** The log record that freezes a window. */
export type FreezeRecord = Extract<LogRecord, {kind: 'usage-freeze'}>;
/** The log record that marks a window as reported. */
export type ReportedRecord = Extract<LogRecord, {kind: 'usage-reported'}>;

/** A frozen window. */
export interface FrozenWindow {
  readonly region: string;
  readonly window: number;
  readonly figures: readonly TeamUsage[];
  /** The sheets that the figures are the sum of, each up to a sequence. */
  readonly includes: FreezeRecord['includes'];
  readonly reported: boolean;
}

/** The frozen windows of one region. */
interface RegionWindows {
  /** Windows up to this one can no longer be frozen; -1 for none. */
  readonly closedThrough: number;
  readonly windows: ReadonlyMap<number, FrozenWindow>;
}

/** The frozen windows of all regions, by region. */
export type UsageLedger = ReadonlyMap<string, RegionWindows>;

/** Name of the lease whose holder freezes and reports a region’s windows. */
export function usageLeaseName(region: string): string {
  return `usage ${region}`;
}

/** A ledger without windows. */
export function emptyLedger(): UsageLedger {
  return new Map();
}

/** A frozen window; undefined if it is not frozen or no longer kept. */
export function frozenWindow(
  ledger: UsageLedger,
  region: string,
  window: number,
): FrozenWindow | undefined {
  return ledger.get(region)?.windows.get(window);
}

/**
 * The ledger after a freeze record. A record that is not the first for its
 * window, or that the holder of the lease did not write, changes nothing.
 *
 * ```ts
 * ledger = foldFreeze(ledger, record, leases);
 * ```
 */
export function foldFreeze(
  ledger: UsageLedger,
  record: FreezeRecord,
  leases: Leases,
): UsageLedger {
  const {region, holder, fence} = record;
  const lease = leases.get(usageLeaseName(region));
  if (lease?.holder !== holder || lease.fence !== fence) return ledger;
  return applyFreeze(ledger, record);
}

/**
 * The ledger after a freeze record whose writer was entitled to write it; this
 * is not checked. A record that is not the first for its window changes
 * nothing.
 *
 * ```ts
 * ledger = applyFreeze(ledger, record);
 * ```
 */
export function applyFreeze(
  ledger: UsageLedger,
  record: FreezeRecord,
): UsageLedger {
  const {region, window, figures, includes} = record;
  const existing = ledger.get(region) ?? {
    closedThrough: -1,
    windows: new Map(),
  };
  if (window <= existing.closedThrough) return ledger;
  if (existing.windows.has(window)) return ledger;
  const frozen = {region, window, figures, includes, reported: false};
  const windows = new Map(existing.windows).set(window, frozen);
  return new Map(ledger).set(region, {...existing, windows});
}

/** The ledger after the record that a window was reported. */
export function foldReported(
  ledger: UsageLedger,
  {region, window}: ReportedRecord,
): UsageLedger {
  const existing = ledger.get(region);
  const frozen = existing?.windows.get(window);
  if (!existing || !frozen || frozen.reported) return ledger;
  const windows = new Map(existing.windows).set(window, {
    ...frozen,
    reported: true,
  });
  return new Map(ledger).set(region, pruneReported({...existing, windows}));
}

/**
 * Removes the oldest windows beyond `RETAINED_WINDOWS`, up to the first that
 * was not reported, and closes all windows up to the last one removed.
 */
function pruneReported({closedThrough, windows}: RegionWindows): RegionWindows {
  const kept = new Map([...windows].sort(([one], [other]) => one - other));
  let closed = closedThrough;
  for (const [window, {reported}] of kept) {
    if (kept.size <= RETAINED_WINDOWS || !reported) break;
    kept.delete(window);
    closed = Math.max(closed, window);
  }
  return {closedThrough: closed, windows: kept};
}
