/**
 * Which connections of callers are served, refused and closed when there are more
 * than the budget has room for. Connections that carry a request are never closed
 * here: only idle ones, and those whose request has not been read.
 */
import type {Clock} from '../clock/index.js';
import type {DescriptorBudget} from './budget.js';

/**
 * Time in which a head that was sent at once has been read. A younger connection is
 * not closed: the next one is accepted before anything of it can be read.
 */
const MIN_HEAD_MILLISECONDS = 100;

/** A connection of a caller, as far as its descriptor is concerned. */
export interface CallerSlot {
  /** Address that it comes from. */
  readonly address: string;
  /** Bytes that have been received so far. */
  readonly received: () => number;
  /** Closes it at once. */
  readonly close: () => void;
}

/** Why a connection was closed or refused. */
export type CallerPressure = 'idle-closed' | 'head-closed' | 'refused' | 'cut';

type SlotState = 'idle' | 'incomplete' | 'busy' | 'refused';

interface Entry {
  state: SlotState;
  /** When it came into the state, in monotonic milliseconds. */
  since: number;
  /** Bytes that had been received when it became idle. */
  receivedAtIdle: number;
}

/** What the slots are made from. */
export interface CallerSlotsOptions {
  /** Undefined where no limit is known. */
  readonly budget: DescriptorBudget | undefined;
  readonly clock: Clock;
  /** Called for each connection that is closed or refused for want of room. */
  readonly onPressure: (pressure: CallerPressure) => void;
}

/** The connections of callers of one host. */
export class CallerSlots<Slot extends CallerSlot> {
  private readonly entries = new Map<Slot, Entry>();
  /** In the order in which they came into the state. */
  private readonly inState: Readonly<Record<SlotState, Set<Slot>>> = {
    idle: new Set(),
    incomplete: new Set(),
    busy: new Set(),
    refused: new Set(),
  };
  private readonly ofAddress = new Map<string, number>();

  constructor(private readonly options: CallerSlotsOptions) {}

  /** All connections that are open. */
  get size(): number {
    return this.entries.size;
  }

  /**
   * Adds a connection that was accepted, and closes others to make room. Without
   * room it is one that is only refused.
   *
   * ```ts
   * server.on('connection', socket => slots.add(slotOf(socket)));
   * ```
   */
  add(slot: Slot): void {
    const since = this.options.clock.monotonic();
    this.entries.set(slot, {state: 'incomplete', since, receivedAtIdle: 0});
    this.inState.incomplete.add(slot);
    this.countAddress(slot, 1);
    if (this.makeRoomFor(slot)) return;
    this.move(slot, 'refused');
    this.options.onPressure('refused');
    this.boundRefused();
  }

  /** Notes that a request was read; returns whether it is to be refused. */
  noteRequest(slot: Slot): boolean {
    const state = this.entries.get(slot)?.state;
    if (state === 'refused' && !this.hasRoomFor(slot)) return true;
    this.move(slot, 'busy');
    return false;
  }

  /** Notes that the connection carries no request any more. */
  noteIdle(slot: Slot): void {
    const entry = this.entries.get(slot);
    if (!entry || entry.state === 'refused') return;
    entry.receivedAtIdle = slot.received();
    this.move(slot, 'idle');
  }

  /** Notes that a connection has closed. */
  remove(slot: Slot): void {
    const entry = this.entries.get(slot);
    if (!entry) return;
    this.inState[entry.state].delete(slot);
    this.entries.delete(slot);
    this.countAddress(slot, -1);
  }

  /** Connections in a state, for the metrics. */
  count(state: SlotState): number {
    return this.inState[state].size;
  }

  /** Whether a connection that was to be refused has room by now. */
  private hasRoomFor({address}: Slot): boolean {
    const {budget} = this.options;
    if (!budget) return true;
    return this.served < budget.callers && !this.isAddressFull(address, budget);
  }

  /** Closes what may be closed until a new connection has room. */
  private makeRoomFor(slot: Slot): boolean {
    const {budget} = this.options;
    if (!budget) return true;
    while (this.isAddressFull(slot.address, budget)) {
      if (!this.closeOne(slot, slot.address)) return false;
    }
    while (this.served > budget.callers) {
      if (!this.closeOne(slot, undefined)) return false;
    }
    return true;
  }

  private get served(): number {
    return this.entries.size - this.inState.refused.size;
  }

  /** An address may take all but what is left to others. */
  private isAddressFull(address: string, budget: DescriptorBudget): boolean {
    return (this.ofAddress.get(address) ?? 0) > budget.callersOfAddress;
  }

  /** Closes the longest idle connection, else that with the oldest head. */
  private closeOne(newest: Slot, address: string | undefined): boolean {
    const isCandidate = (slot: Slot) =>
      slot !== newest && (address === undefined || slot.address === address);
    for (const slot of this.inState.idle) {
      if (!isCandidate(slot)) continue;
      if (slot.received() > (this.entries.get(slot)?.receivedAtIdle ?? 0)) {
        // The head of its next request has begun.
        this.move(slot, 'incomplete');
        continue;
      }
      this.close(slot, 'idle-closed');
      return true;
    }
    const readBy = this.options.clock.monotonic() - MIN_HEAD_MILLISECONDS;
    for (const slot of this.inState.incomplete) {
      if ((this.entries.get(slot)?.since ?? 0) > readBy) return false;
      if (!isCandidate(slot)) continue;
      this.close(slot, 'head-closed');
      return true;
    }
    return false;
  }

  /** Cuts the oldest of those that are refused when there are too many of them. */
  private boundRefused(): void {
    const {budget} = this.options;
    const {refused} = this.inState;
    if (!budget || refused.size <= budget.refusals) return;
    const [oldest] = refused;
    if (oldest) this.close(oldest, 'cut');
  }

  private close(slot: Slot, pressure: CallerPressure): void {
    this.remove(slot);
    slot.close();
    this.options.onPressure(pressure);
  }

  private move(slot: Slot, state: SlotState): void {
    const entry = this.entries.get(slot);
    if (!entry || entry.state === state) return;
    this.inState[entry.state].delete(slot);
    entry.state = state;
    entry.since = this.options.clock.monotonic();
    this.inState[state].add(slot);
  }

  private countAddress({address}: Slot, change: 1 | -1): void {
    const count = (this.ofAddress.get(address) ?? 0) + change;
    if (count === 0) this.ofAddress.delete(address);
    else this.ofAddress.set(address, count);
  }
}
