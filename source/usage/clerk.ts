/**
 * Decides which usage window the holder of a region's lease is to freeze next,
 * and which to report. A late report is better than a wrong one, so a window is
 * not frozen until every process that may have served requests in it has sealed
 * its sheet or a maximum wait is over.
 */
import type {FreezeRecord, UsageLedger, Frozen} from './ledger.js';
import {frozenOf} from './ledger.js';
import {sumOf, type Copy, type UsageSheets} from './sheets.js';

/** The host that freezes windows, and what it knows of the others. */
export interface Clerk {
  readonly region: string;
  /** Incarnation or name of the host that holds the region's lease. */
  readonly holder: string;
  /** Fencing number of the holder's lease. */
  readonly fence: number;
  /** The current window; only earlier ones are frozen. */
  readonly present: number;
  /** Windows that must pass before one is frozen without all sheets sealed. */
  readonly patience: number;
  /** Incarnations that may still add usage to a window. */
  readonly expects: (window: number) => ReadonlySet<string>;
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
export function dueFreeze(
  sheets: UsageSheets,
  ledger: UsageLedger,
  context: Clerk,
): FreezeRecord | undefined {
  for (const window of sheets.windowsBefore(context.present)) {
    if (frozenOf(ledger, context.region, window)) continue;
    const windowSheets = sheets.of(window);
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
  windowSheets: readonly Copy[],
  window: number,
  context: Clerk,
): boolean {
  const sealed = new Set<string>();
  for (const {incarnation, sealed: isSealed} of windowSheets) {
    if (isSealed) sealed.add(incarnation);
  }
  for (const incarnation of context.expects(window)) {
    if (!sealed.has(incarnation) && !isOverdue(window, context)) return false;
  }
  const hasUnsealed = windowSheets.some(({sealed: isSealed}) => !isSealed);
  return !hasUnsealed || isOverdue(window, context);
}

function isOverdue(
  window: number,
  {present: currentWindow, patience: maxWaitWindows}: Clerk,
): boolean {
  return currentWindow - window > maxWaitWindows;
}

function createFreezeRecord(
  windowSheets: readonly Copy[],
  window: number,
  {region, holder, fence}: Clerk,
): FreezeRecord {
  return {
    kind: 'usage-freeze',
    region,
    window,
    holder,
    fence,
    figures: [...sumOf(windowSheets).values()],
    includes: windowSheets.map(({incarnation, sequence}) => ({
      incarnation,
      sequence,
    })),
  };
}

/** The oldest frozen window of a region that is not marked as reported. */
export function dueReport(
  ledger: UsageLedger,
  region: string,
): Frozen | undefined {
  const windows = [...(ledger.get(region)?.windows.values() ?? [])];
  return windows
    .filter(({reported}) => !reported)
    .sort((one, other) => one.window - other.window)[0];
}
