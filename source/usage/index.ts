/** Usage windows: counting requests and tokens by team, exactly once. */
export {
  applyFreeze,
  emptyLedger,
  foldFreeze,
  foldReported,
  frozenWindow,
  usageLeaseName,
  RETAINED_WINDOWS,
  type FrozenWindow,
  type FreezeRecord,
  type ReportedRecord,
  type UsageLedger,
} from './ledger.js';
export {
  usageByTeam,
  addUsage,
  subtractUsage,
  type UsageByTeam,
  type TeamUsage,
} from './totals.js';
export {UsageSheets, type SheetState} from './sheets.js';
export {nextFreeze, nextUnreported, type FreezeContext} from './freeze.js';
