/**
 * What the holder of a region's lease does about usage: freeze the windows that
 * are complete, and report those that are frozen. Late beats wrong: a window
 * waits for every process that may have served in it.
 */
import type {FreezeRecord, UsageLedger, Frozen} from './ledger.js';
import {frozenOf} from './ledger.js';
import {sumOf, type Copy, type UsageSheets} from './sheets.js';

/** Who asks, and what it knows of the others. */
export interface Clerk {
  readonly region: string;
  readonly holder: string;
  readonly fence: number;
  /** The window that is open now. */
  readonly present: number;
  /** Windows that pass before one may be frozen without a sealed sheet. */
  readonly patience: number;
  /** Incarnations that may still add to a window. */
  readonly expects: (window: number) => ReadonlySet<string>;
}

/**
 * The freeze of the oldest window that is complete, or nothing.
 *
 * ```ts
 * const record = dueFreeze(sheets, ledger, clerk);
 * if (record) await platform.append([record]);
 * ```
 */
export function dueFreeze(
  sheets: UsageSheets,
  ledger: UsageLedger,
  clerk: Clerk,
): FreezeRecord | undefined {
  for (const window of sheets.windowsBefore(clerk.present)) {
    if (frozenOf(ledger, clerk.region, window)) continue;
    const copies = sheets.of(window);
    if (!isComplete(copies, window, clerk)) return undefined;
    return freezeOf(copies, window, clerk);
  }
  return undefined;
}

/** Complete: every process that lives has sealed its sheet, or time is up. */
function isComplete(
  copies: readonly Copy[],
  window: number,
  clerk: Clerk,
): boolean {
  const sealed = new Set<string>();
  for (const {incarnation, sealed: done} of copies) {
    if (done) sealed.add(incarnation);
  }
  for (const incarnation of clerk.expects(window)) {
    if (!sealed.has(incarnation) && !isOverdue(window, clerk)) return false;
  }
  const unsealed = copies.some(({sealed: done}) => !done);
  return !unsealed || isOverdue(window, clerk);
}

function isOverdue(window: number, {present, patience}: Clerk): boolean {
  return present - window > patience;
}

function freezeOf(
  copies: readonly Copy[],
  window: number,
  {region, holder, fence}: Clerk,
): FreezeRecord {
  return {
    kind: 'usage-freeze',
    region,
    window,
    holder,
    fence,
    figures: [...sumOf(copies).values()],
    includes: copies.map(({incarnation, sequence}) => ({
      incarnation,
      sequence,
    })),
  };
}

/** The oldest frozen window of a region that is not known to be reported. */
export function dueReport(
  ledger: UsageLedger,
  region: string,
): Frozen | undefined {
  const windows = [...(ledger.get(region)?.windows.values() ?? [])];
  return windows
    .filter(({reported}) => !reported)
    .sort((one, other) => one.window - other.window)[0];
}
