/**
 * The usage sheets that a host keeps for other hosts, in case they die before
 * they have appended them.
 */
import type {Logger} from '../logging/index.js';
import type {Sheet} from '../platform/index.js';

/** Windows before the current one that may not be in the store yet. */
export const UNSTORED_PAST_WINDOWS = 1;

/** Sheets of other hosts that may not be in the store yet, by incarnation. */
export class UsageReplicas {
  private readonly sheets = new Map<string, readonly Sheet[]>();

  constructor(private readonly logger: Logger) {}

  /** Keeps sheets of another host. `host` is its incarnation. */
  keep(host: string, sheets: readonly Sheet[]): void {
    const known = this.sheets.get(host) ?? [];
    this.sheets.set(host, newestOf(known, sheets));
  }

  /** Returns the sheets that are kept for a host, and keeps them no longer. */
  take(host: string): readonly Sheet[] {
    const sheets = this.sheets.get(host) ?? [];
    this.sheets.delete(host);
    return sheets;
  }

  /** Number of hosts whose sheets are kept. */
  get hostCount(): number {
    return this.sheets.size;
  }

  /** Removes the sheets of hosts that have sent none since a window. */
  removeBefore(oldest: number): void {
    for (const [host, sheets] of this.sheets) {
      if (sheets.some(({window}) => window >= oldest)) continue;
      this.sheets.delete(host);
      this.logger.info('usage-replica-removed', {host, oldest});
    }
  }
}

/**
 * The newest sheet of each window, as messages may arrive out of order, without
 * the windows that are old enough to be in the store.
 */
function newestOf(
  known: readonly Sheet[],
  sheets: readonly Sheet[],
): readonly Sheet[] {
  const newest = new Map(known.map(sheet => [sheet.window, sheet]));
  for (const sheet of sheets) {
    const before = newest.get(sheet.window)?.sequence ?? 0;
    if (before <= sheet.sequence) newest.set(sheet.window, sheet);
  }
  const oldest = Math.max(...newest.keys()) - UNSTORED_PAST_WINDOWS;
  return [...newest.values()].filter(({window}) => window >= oldest);
}
