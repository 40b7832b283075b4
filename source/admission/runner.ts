/**
 * Adapts the admission queue to p-queue, which runs the work. p-queue starts
 * work whenever its queue has any, so the queue reports a size of zero while
 * no request has capacity. The request that made it report another size is the
 * one that p-queue then gets: capacity may be gone at the next reading of the
 * clock, and p-queue calls whatever it gets.
 */
import PQueue, {type Queue, type QueueAddOptions} from 'p-queue';

import type {Clock} from '../clock/index.js';
import type {AdmissionQueue, Selection} from './queue.js';
import type {AdmissionRequest} from './request.js';

type RunFunction = () => Promise<unknown>;

/** What p-queue gets when no request can start, since it calls what it gets. */
const doNothing: RunFunction = () => Promise.resolve();

/** A request with the function that p-queue made to run its work. */
export interface Runnable extends AdmissionRequest {
  run?: RunFunction;
}

/** The options of p-queue with the request that the work belongs to. */
export interface RunnableOptions<T extends Runnable> extends QueueAddOptions {
  request: T;
}

type RunnableQueue<T extends Runnable> = Queue<RunFunction, RunnableOptions<T>>;

/** A p-queue that takes its order from the admission queue. */
export type Runner<T extends Runnable> = PQueue<
  RunnableQueue<T>,
  RunnableOptions<T>
>;

/**
 * Makes a p-queue that starts requests in the order of `queue`. Calls `onStart`
 * with each request just before its work begins.
 *
 * ```ts
 * const runner = createRunner(queue, clock, ({request}) => note(request));
 * await runner.add(work, {request});
 * ```
 */
export function createRunner<T extends Runnable>(
  queue: AdmissionQueue<T>,
  clock: Clock,
  onStart: (selection: Selection<T>) => void,
): Runner<T> {
  class QueueAdapter implements RunnableQueue<T> {
    /** What the last reading of the size was based on. */
    private next: Selection<T> | undefined;

    get size(): number {
      this.next = queue.peek(clock.monotonic());
      return this.next ? queue.size : 0;
    }

    enqueue(run: RunFunction, options?: Partial<RunnableOptions<T>>): void {
      const request = options?.request;
      if (!request) return;
      request.run = run;
      queue.push(request);
    }

    dequeue(): RunFunction {
      const selection = this.next;
      this.next = undefined;
      const isStarted = selection && queue.start(selection, clock.monotonic());
      if (!isStarted) return doNothing;
      onStart(selection);
      return selection.request.run ?? doNothing;
    }

    filter(): RunFunction[] {
      return queue.requests().flatMap(({run}) => run ?? []);
    }

    setPriority(): void {}
  }
  return new PQueue<RunnableQueue<T>, RunnableOptions<T>>({
    queueClass: QueueAdapter,
  });
}
