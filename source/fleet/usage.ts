/**
 * Carries out the work on usage windows: copies to other hosts, freezes in the
 * log, and reports. A window is a span of the wall clock; clocks that differ
 * move usage from one window to the next, and count none twice.
 */
import type {Clock} from '../clock/index.js';
import type {Message} from '../messages/index.js';
import type {Metrics} from '../metrics/index.js';
import type {LogRecord, Platform, Sheet} from '../platform/index.js';
import {
  nextFreeze,
  nextUnreported,
  usageLeaseName,
  UsageSheets,
  type UsageLedger,
} from '../usage/index.js';
import type {LeaseDesk} from './lease.js';

/** Windows that pass before one is frozen without a process's last copy. */
const PATIENCE_WINDOWS = 3;
/** Ticks between two full copies. */
const FULL_COPY_TICKS = 30;

/** What a usage desk is made from. */
export interface UsageDeskOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly platform: Platform;
  readonly leases: LeaseDesk;
  readonly region: string;
  readonly incarnation: string;
  /** Milliseconds. */
  readonly window: number;
  readonly ledger: () => UsageLedger;
  /** Incarnations that may still serve requests. */
  readonly alive: () => ReadonlySet<string>;
  readonly broadcast: (message: Message) => void;
}

/** The usage of a host and its copies of the others'. */
export class UsageDesk {
  private readonly sheets: UsageSheets;
  private readonly lease: string;
  private busy = false;
  private ticks = 0;

  constructor(private readonly options: UsageDeskOptions) {
    const {region, incarnation} = options;
    this.sheets = new UsageSheets(region, incarnation);
    this.lease = usageLeaseName(region);
  }

  /** Adds to the window that is open now. */
  add(team: string, tokens: number): void {
    this.sheets.add(this.present(), {team, requests: 1, tokens});
  }

  receive(sheets: readonly Sheet[]): void {
    for (const sheet of sheets) this.sheets.applyUpdate(sheet);
  }

  /** Everything that a host should have that has just come in reach. */
  everything(): Message {
    const sheets = [
      ...this.sheets.takeUpdates(true),
      ...this.sheets.exportReplicas(),
    ];
    return {kind: 'usage', sheets};
  }

  /** Seals, copies, freezes and reports whatever is due. */
  tick(): void {
    this.ticks++;
    this.sheets.sealBefore(this.present());
    this.settle();
    const full = this.ticks % FULL_COPY_TICKS === 0;
    const sheets = this.sheets.takeUpdates(full);
    if (sheets.length > 0) this.options.broadcast({kind: 'usage', sheets});
    if (!this.busy) void this.act();
  }

  /** Closes this host's usage for good; answers the sheets that others need. */
  seal(): Sheet[] {
    this.sheets.sealBefore(Infinity);
    return this.sheets.takeUpdates(true);
  }

  /** Drops what is frozen, and carries over what was left out. */
  settle(): void {
    const carried = this.sheets.carryOver(
      this.options.ledger(),
      this.present(),
    );
    if (carried !== 0) this.options.metrics.count('usage-carried', {}, carried);
  }

  private present(): number {
    return Math.floor(this.options.clock.now().getTime() / this.options.window);
  }

  private async act(): Promise<void> {
    this.busy = true;
    try {
      if (this.options.leases.mayAct(this.lease)) await this.freeze();
      if (this.options.leases.mayAct(this.lease)) await this.report();
    } catch {
      this.options.metrics.count('usage-delayed');
    } finally {
      this.busy = false;
    }
  }

  private async freeze(): Promise<void> {
    const {ledger, leases, alive, incarnation, region, platform} = this.options;
    const record = nextFreeze(this.sheets, ledger(), {
      region,
      holder: incarnation,
      fence: leases.fence(this.lease),
      currentWindow: this.present(),
      maxWaitWindows: PATIENCE_WINDOWS,
      expectedIncarnations: alive,
    });
    if (record) await platform.append([record]);
  }

  private async report(): Promise<void> {
    const {ledger, leases, region, incarnation, platform} = this.options;
    const due = nextUnreported(ledger(), region);
    if (!due) return;
    const {window} = due;
    const report = {
      region,
      window,
      fence: leases.fence(this.lease),
      holder: incarnation,
      figures: [...due.figures],
    };
    const sent = await platform.reportUsage(report, () =>
      leases.mayAct(this.lease),
    );
    if (!sent) return;
    this.options.metrics.count('usage-reported');
    const note: LogRecord = {kind: 'usage-reported', region, window};
    await platform.append([note]);
  }
}
