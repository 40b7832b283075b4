/**
 * Stores the usage sheets of a large fleet with few appends: hosts send their
 * sheets to one host of their zone, which appends them together and tells each
 * that they are stored. A host that is not told in time appends its sheets
 * itself; a sheet that is stored twice counts once.
 */
import type {Cancel, Clock} from '../clock/index.js';
import type {SheetDelivery} from '../gossip/index.js';
import type {Sheet} from '../platform/index.js';

/** Milliseconds for which sheets of several hosts are gathered. */
const GATHER_MILLISECONDS = 300;
/** Milliseconds after which a host no longer waits to be told. */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 1_200;

/** What a relay of sheets is created from. */
export interface UsageRelayOptions {
  readonly clock: Clock;
  /** The host that appends for this one; undefined where it appends itself. */
  readonly recorder: () => string | undefined;
  /** Sends sheets to a host. */
  readonly deliver: (host: string, delivery: SheetDelivery) => void;
  /** Tells a host that a delivery is stored. */
  readonly confirm: (host: string, number: number) => void;
  /** Appends sheets; resolves to whether the store has confirmed them. */
  readonly append: (sheets: readonly Sheet[]) => Promise<boolean>;
}

interface ReceivedDelivery extends SheetDelivery {
  readonly host: string;
}

/** Sends sheets to the host that appends them, or appends those of others. */
export class UsageRelay {
  private deliveries = 0;
  private gathered: ReceivedDelivery[] = [];
  private isGathering = false;
  /** What to call when a delivery is confirmed, by its number. */
  private readonly waiting = new Map<number, () => void>();

  constructor(private readonly options: UsageRelayOptions) {}

  /**
   * Stores sheets, through another host where there is one. Resolves to whether
   * they are known to be stored.
   *
   * ```ts
   * if (!(await relay.store(sheets))) retryLater();
   * ```
   */
  store(sheets: readonly Sheet[]): Promise<boolean> {
    const {clock, recorder, deliver, append} = this.options;
    const host = recorder();
    if (host === undefined) return append(sheets);
    const number = ++this.deliveries;
    return new Promise(resolve => {
      const stopTimer: Cancel = clock.after(
        CONFIRMATION_TIMEOUT_MILLISECONDS,
        () => {
          this.waiting.delete(number);
          resolve(append(sheets));
        },
      );
      this.waiting.set(number, () => {
        this.waiting.delete(number);
        stopTimer();
        resolve(true);
      });
      deliver(host, {number, sheets});
    });
  }

  /** Handles the confirmation of a delivery. */
  handleConfirmation(number: number): void {
    this.waiting.get(number)?.();
  }

  /** Gathers what another host has sent, to append it. */
  handleDelivery(host: string, delivery: SheetDelivery): void {
    this.gathered.push({host, ...delivery});
    if (this.isGathering) return;
    this.isGathering = true;
    this.options.clock.after(
      GATHER_MILLISECONDS,
      () => void this.appendGathered(),
    );
  }

  private async appendGathered(): Promise<void> {
    const {append, confirm} = this.options;
    const deliveries = this.gathered;
    this.gathered = [];
    this.isGathering = false;
    const isStored = await append(deliveries.flatMap(({sheets}) => sheets));
    if (!isStored) return;
    for (const {host, number} of deliveries) confirm(host, number);
  }
}
