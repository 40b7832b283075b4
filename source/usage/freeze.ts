/**
 * Decides which usage window the holder of a region's lease is to freeze next,
 * and which to report. A late report is better than a wrong one, so a window is
 * not frozen until every process that may have served requests in it has sealed
 * its sheet or a maximum wait is over.
 */
import type {FreezeRecord, UsageLedger, FrozenWindow} from './ledger.js';
import {frozenWindow} from './ledger.js';
import {sumUsage, type SheetState, type UsageSheets} from './sheets.js';

/** The host that freezes windows, and what it knows of the others. */
export interface FreezeContext {
  readonly region: string;
  /** Incarnation or name of the host that holds the region's lease. */
  readonly holder: string;
  /** Fencing number of the holder's lease. */
  readonly fence: number;
  /** Windows before this one are not frozen; none where it is absent. */
  readonly oldestWindow?: number;
  /** The current window; only earlier ones are frozen. */
  readonly currentWindow: number;
  /** Windows that must pass before one is frozen without all sheets sealed. */
  readonly maxWaitWindows: number;
  /** Incarnations that may still add usage to a window. */
  readonly expectedIncarnations: (window: number) => ReadonlySet<string>;
}

/**
 * The record that freezes the oldest unfrozen window; undefined if there is
 * none, or if that window is not complete yet.
 *
 * ```ts
 * const record = nextFreeze(sheets, ledger, context);
 * if (record) await platform.append([record]);
 * ```
 */
export function nextFreeze(
  sheets: UsageSheets,
  ledger: UsageLedger,
  context: FreezeContext,
): FreezeRecord | undefined {
  const {oldestWindow = -Infinity} = context;
  for (const window of sheets.windowsBefore(context.currentWindow)) {
    if (window < oldestWindow) continue;
    if (frozenWindow(ledger, context.region, window)) continue;
    const windowSheets = sheets.sheetsFor(window);
    if (!isComplete(windowSheets, window, context)) return undefined;
    return createFreezeRecord(windowSheets, window, context);
  }
  return undefined;
}

/**
 * Whether all sheets of a window are sealed and none is missing, or the maximum
 * wait is over.
 */
function isComplete(
  windowSheets: readonly SheetState[],
  window: number,
  context: FreezeContext,
): boolean {
  const sealed = new Set<string>();
  for (const {incarnation, sealed: isSealed} of windowSheets) {
    if (isSealed) sealed.add(incarnation);
  }
  for (const incarnation of context.expectedIncarnations(window)) {
    if (!sealed.has(incarnation) && !isOverdue(window, context)) return false;
  }
  const hasUnsealed = windowSheets.some(({sealed: isSealed}) => !isSealed);
  return !hasUnsealed || isOverdue(window, context);
}

function isOverdue(
  window: number,
  {currentWindow, maxWaitWindows}: FreezeContext,
): boolean {
  return currentWindow - window > maxWaitWindows;
}

function createFreezeRecord(
  windowSheets: readonly SheetState[],
  window: number,
  {region, holder, fence}: FreezeContext,
): FreezeRecord {
  return {
    kind: 'usage-freeze',
    region,
    window,
    holder,
    fence,
    figures: [...sumUsage(windowSheets).values()],
    includes: windowSheets.map(({incarnation, sequence}) => ({
      incarnation,
      sequence,
    })),
  };
}

/** The oldest frozen window of a region that is not marked as reported. */
export function nextUnreported(
  ledger: UsageLedger,
  region: string,
): FrozenWindow | undefined {
  const windows = [...(ledger.get(region)?.windows.values() ?? [])];
  return windows
    .filter(({reported}) => !reported)
    .sort((one, other) => one.window - other.window)[0];
}
