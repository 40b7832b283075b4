/**
 * The place where our order meets p-queue. p-queue starts work whenever its
 * queue has any, so the queue shows itself as empty while nothing has room.
 */
import PQueue, {type Queue, type QueueAddOptions} from 'p-queue';

import type {Clock} from '../clock/index.js';
import type {Pick, WaitingQueue} from './queue.js';
import type {Ticket} from './ticket.js';

type RunFunction = () => Promise<unknown>;

/** A ticket that p-queue has wrapped its work for. */
export interface Runnable extends Ticket {
  run?: RunFunction;
}

/** The options of p-queue with the ticket that the work belongs to. */
export interface RunnableOptions<T extends Runnable> extends QueueAddOptions {
  ticket: T;
}

type Ordered<T extends Runnable> = Queue<RunFunction, RunnableOptions<T>>;

/** A p-queue whose order is that of the waiting queue. */
export type Runner<T extends Runnable> = PQueue<Ordered<T>, RunnableOptions<T>>;

/**
 * Makes a p-queue that starts tickets in the order of `waiting`.
 *
 * ```ts
 * const runner = createRunner(waiting, clock, pick => pick.ticket.cancel());
 * await runner.add(work, {ticket});
 * ```
 */
export function createRunner<T extends Runnable>(
  waiting: WaitingQueue<T>,
  clock: Clock,
  started: (pick: Pick<T>) => void,
): Runner<T> {
  class TicketQueue implements Ordered<T> {
    get size(): number {
      return waiting.hasNext(clock.monotonic()) ? waiting.size : 0;
    }

    enqueue(run: RunFunction, options?: Partial<RunnableOptions<T>>): void {
      const ticket = options?.ticket;
      if (!ticket) return;
      ticket.run = run;
      waiting.push(ticket);
    }

    dequeue(): RunFunction | undefined {
      const pick = waiting.take(clock.monotonic());
      if (!pick) return undefined;
      started(pick);
      return pick.ticket.run;
    }

    filter(): RunFunction[] {
      return waiting.tickets().flatMap(({run}) => run ?? []);
    }

    setPriority(): void {}
  }
  return new PQueue<Ordered<T>, RunnableOptions<T>>({queueClass: TicketQueue});
}
