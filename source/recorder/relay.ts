/**
 * Stores items of a large fleet with few appends: hosts send theirs to one host of
 * their zone, the recorder, which appends them together and tells each that they are
 * stored. Items stay with the host that sent them until then: one that is not told in
 * time appends them itself, and uses another recorder if the store has taken them.
 * What is stored twice counts once.
 */
import type {Cancel, Clock} from '../clock/index.js';

/** Items that a host leaves to its recorder. */
export interface Delivery<Item> {
  /** Numbers the deliveries of a host. */
  readonly number: number;
  readonly items: readonly Item[];
}

/** How a host finds its recorder, and how the two talk. */
export interface RecorderLink<Item> {
  /** The host that appends for this one; undefined where it appends itself. */
  readonly recorder: () => string | undefined;
  /** Sends items to a host. */
  readonly deliver: (host: string, delivery: Delivery<Item>) => void;
  /** Tells a host that a delivery is stored. */
  readonly confirm: (host: string, number: number) => void;
  /** Called when a recorder has not confirmed items that this host could store. */
  readonly onMissed: (host: string) => void;
}

/** What a relay is created from; durations in milliseconds. */
export interface RecorderRelayOptions<Item> extends RecorderLink<Item> {
  readonly clock: Clock;
  /** For how long a recorder gathers the items of several hosts. */
  readonly gathering: number;
  /** After how long a host no longer waits to be told. */
  readonly patience: number;
  /** Appends items; resolves to whether the store has confirmed them. */
  readonly append: (items: readonly Item[]) => Promise<boolean>;
}

interface ReceivedDelivery<Item> extends Delivery<Item> {
  readonly host: string;
}

/** Sends items to the recorder, or appends those of others. */
export class RecorderRelay<Item> {
  private deliveries = 0;
  private gathered: Array<ReceivedDelivery<Item>> = [];
  private isGathering = false;
  /** What to call when a delivery is confirmed, by its number. */
  private readonly waiting = new Map<number, () => void>();

  constructor(private readonly options: RecorderRelayOptions<Item>) {}

  /**
   * Stores items, through the recorder where there is one. Resolves to whether they
   * are known to be stored.
   *
   * ```ts
   * if (!(await relay.store(sheets))) retryLater();
   * ```
   */
  store(items: readonly Item[]): Promise<boolean> {
    const {clock, patience, recorder, deliver, append} = this.options;
    const host = recorder();
    if (host === undefined) return append(items);
    const number = ++this.deliveries;
    return new Promise((resolve, reject) => {
      const stopTimer: Cancel = clock.after(patience, () => {
        this.waiting.delete(number);
        this.storeMissed(host, items).then(resolve, reject);
      });
      this.waiting.set(number, () => {
        this.waiting.delete(number);
        stopTimer();
        resolve(true);
      });
      deliver(host, {number, items});
    });
  }

  /** Handles the confirmation of a delivery. */
  handleConfirmation(number: number): void {
    this.waiting.get(number)?.();
  }

  /** Gathers what another host has sent, to append it. */
  handleDelivery(host: string, delivery: Delivery<Item>): void {
    this.gathered.push({host, ...delivery});
    if (this.isGathering) return;
    this.isGathering = true;
    const {clock, gathering} = this.options;
    clock.after(gathering, () => void this.appendGathered());
  }

  /**
   * Appends what is gathered, and confirms it; resolves when that is done. For a
   * host that stops.
   */
  async appendGathered(): Promise<void> {
    const {append, confirm} = this.options;
    const deliveries = this.gathered;
    this.gathered = [];
    this.isGathering = false;
    if (deliveries.length === 0) return;
    const isStored = await append(deliveries.flatMap(({items}) => items));
    if (!isStored) return;
    for (const {host, number} of deliveries) confirm(host, number);
  }

  /** Appends what a recorder has not confirmed. */
  private async storeMissed(
    host: string,
    items: readonly Item[],
  ): Promise<boolean> {
    const {append, onMissed} = this.options;
    const isStored = await append(items);
    // Where this host cannot store them either, it is the store that is away.
    if (isStored) onMissed(host);
    return isStored;
  }
}
