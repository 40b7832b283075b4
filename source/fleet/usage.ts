/**
 * Counts usage by window: sends updates of this host's sheets to the other
 * hosts, freezes windows in the log and reports them. A window is a span of
 * wall-clock time; differences between the hosts' clocks can move usage from
 * one window to the next, but never count it twice.
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
import type {LeaseManager} from './lease.js';

/** Windows to wait for all sheets to be sealed before one is frozen anyway. */
const MAX_WAIT_WINDOWS = 3;
/** Ticks between two full updates. */
const FULL_UPDATE_INTERVAL_TICKS = 30;

/** Dependencies and settings of `UsageTracker`. */
export interface UsageTrackerOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly platform: Platform;
  readonly leases: LeaseManager;
  readonly region: string;
  readonly incarnation: string;
  /** Length of a window in milliseconds. */
  readonly window: number;
  readonly ledger: () => UsageLedger;
  /** Incarnations that may still serve requests. */
  readonly activeIncarnations: () => ReadonlySet<string>;
  readonly broadcast: (message: Message) => void;
}

/** The usage sheets of a host, with its replicas of the other hosts' sheets. */
export class UsageTracker {
  private readonly sheets: UsageSheets;
  private readonly leaseName: string;
  private isFreezingOrReporting = false;
  private ticks = 0;

  constructor(private readonly options: UsageTrackerOptions) {
    const {region, incarnation} = options;
    this.sheets = new UsageSheets(region, incarnation);
    this.leaseName = usageLeaseName(region);
  }

  /** Adds one request with its tokens to the current window. */
  add(team: string, tokens: number): void {
    this.sheets.add(this.currentWindow(), {team, requests: 1, tokens});
  }

  /** Applies updates of other processes' sheets. */
  applyUpdates(sheets: readonly Sheet[]): void {
    for (const sheet of sheets) this.sheets.applyUpdate(sheet);
  }

  /** Full updates of all known sheets, for a host that has become reachable. */
  createFullUpdate(): Message {
    const sheets = [
      ...this.sheets.takeUpdates(true),
      ...this.sheets.exportReplicas(),
    ];
    return {kind: 'usage', sheets};
  }

  /**
   * Seals the sheets of past windows, broadcasts updates, and freezes and
   * reports windows that are due. To be called at regular intervals.
   */
  tick(): void {
    this.ticks++;
    this.sheets.sealBefore(this.currentWindow());
    this.carryOver();
    const full = this.ticks % FULL_UPDATE_INTERVAL_TICKS === 0;
    const sheets = this.sheets.takeUpdates(full);
    if (sheets.length > 0) this.options.broadcast({kind: 'usage', sheets});
    if (!this.isFreezingOrReporting) void this.freezeAndReport();
  }

  /**
   * Seals all sheets of this host for good; returns full updates of them for
   * the other hosts.
   */
  seal(): Sheet[] {
    this.sheets.sealBefore(Infinity);
    return this.sheets.takeUpdates(true);
  }

  /**
   * Removes sheets whose window is frozen, and carries usage that the freeze
   * did not include over to the current window.
   */
  carryOver(): void {
    const carriedOver = this.sheets.carryOver(
      this.options.ledger(),
      this.currentWindow(),
    );
    if (carriedOver !== 0)
      this.options.metrics.count('usage-carried', {}, carriedOver);
  }

  private currentWindow(): number {
    return Math.floor(this.options.clock.now().getTime() / this.options.window);
  }

  private async freezeAndReport(): Promise<void> {
    this.isFreezingOrReporting = true;
    try {
      if (this.options.leases.mayAct(this.leaseName)) await this.freeze();
      if (this.options.leases.mayAct(this.leaseName)) await this.report();
    } catch {
      this.options.metrics.count('usage-delayed');
    } finally {
      this.isFreezingOrReporting = false;
    }
  }

  private async freeze(): Promise<void> {
    const {ledger, leases, activeIncarnations, incarnation, region, platform} =
      this.options;
    const record = nextFreeze(this.sheets, ledger(), {
      region,
      holder: incarnation,
      fence: leases.fence(this.leaseName),
      currentWindow: this.currentWindow(),
      maxWaitWindows: MAX_WAIT_WINDOWS,
      expectedIncarnations: activeIncarnations,
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
      fence: leases.fence(this.leaseName),
      holder: incarnation,
      figures: [...due.figures],
    };
    const sent = await platform.reportUsage(report, () =>
      leases.mayAct(this.leaseName),
    );
    if (!sent) return;
    this.options.metrics.count('usage-reported');
    const record: LogRecord = {kind: 'usage-reported', region, window};
    await platform.append([record]);
  }
}
