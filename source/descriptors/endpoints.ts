/**
 * Room for connections to endpoints. A request that needs a new connection waits
 * for a short time until another one closes, and fails then, before anything of it
 * was sent.
 */
import type {CancellationSignal} from '../cancellation/index.js';
import type {Clock} from '../clock/index.js';
import {DescriptorShortage} from '../errors/index.js';
import type {DescriptorBudget} from './budget.js';
import type {DescriptorCounts} from './counts.js';

/** A shorter wait than for an endpoint that does not accept a connection. */
const MAX_WAIT_MILLISECONDS = 200;

/** What the room is made from. */
export interface EndpointRoomOptions {
  /** Undefined where no limit is known. */
  readonly budget: DescriptorBudget | undefined;
  readonly counts: DescriptorCounts;
  readonly clock: Clock;
  /** Called for each request that got no room. */
  readonly onRefused: () => void;
}

interface Waiter {
  readonly grant: () => void;
}

/** The part of the budget for connections to endpoints. */
export class EndpointRoom {
  private readonly waiting = new Set<Waiter>();
  /** Connections that were granted and are not counted yet. */
  private granted = 0;

  constructor(private readonly options: EndpointRoomOptions) {
    options.counts.onClosed(use => {
      if (use === 'endpoints') this.grantNext();
    });
  }

  /** Whether a connection may be opened at once. */
  get hasRoom(): boolean {
    const {budget, counts} = this.options;
    if (!budget) return true;
    return counts.of('endpoints') + this.granted < budget.endpoints;
  }

  /**
   * Waits until one connection may be opened. Resolves with a function to call once
   * it is counted, or is not needed. Rejects with a DescriptorShortage if there is
   * no room in time or the signal is aborted first.
   *
   * ```ts
   * const done = await room.take(signal);
   * ```
   */
  async take(signal: CancellationSignal): Promise<() => void> {
    if (!this.hasRoom || this.waiting.size > 0) await this.wait(signal);
    else this.granted++;
    let isPending = true;
    return () => {
      if (!isPending) return;
      isPending = false;
      this.granted--;
      this.grantNext();
    };
  }

  private wait(signal: CancellationSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const settle = () => {
        stopTimer();
        stopWatching();
        this.waiting.delete(waiter);
      };
      const fail = () => {
        settle();
        this.options.onRefused();
        reject(new DescriptorShortage('no descriptor for an endpoint in time'));
      };
      const waiter: Waiter = {
        grant: () => {
          settle();
          this.granted++;
          resolve();
        },
      };
      this.waiting.add(waiter);
      const stopTimer = this.options.clock.after(MAX_WAIT_MILLISECONDS, fail);
      const stopWatching = signal.onAbort(fail);
    });
  }

  private grantNext(): void {
    for (const {grant} of this.waiting) {
      if (!this.hasRoom) return;
      grant();
    }
  }
}
