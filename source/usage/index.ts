/** Usage windows: counting requests and tokens by team, exactly once. */
export {
  adoptFreeze,
  emptyLedger,
  foldFreeze,
  foldReported,
  frozenOf,
  usageLeaseOf,
  WINDOWS_KEPT,
  type Frozen,
  type FreezeRecord,
  type ReportedRecord,
  type UsageLedger,
} from './ledger.js';
export {
  figuresOf,
  mergeFigures,
  subtractFigures,
  type Figures,
  type TeamFigure,
} from './figures.js';
export {UsageSheets, type Copy} from './sheets.js';
export {dueFreeze, dueReport, type Clerk} from './clerk.js';
