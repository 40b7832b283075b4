/**
 * Adapts the admission queue to p-queue, which runs the work. p-queue starts
 * work whenever its queue has any, so the queue reports a size of zero while
 * no request has capacity.
 */
import PQueue, {type Queue, type QueueAddOptions} from 'p-queue';

import type {Clock} from '../clock/index.js';
import type {AdmissionQueue, Selection} from './queue.js';
import type {AdmissionRequest} from './request.js';

type RunFunction = () => Promise<unknown>;

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
    get size(): number {
      return queue.hasNext(clock.monotonic()) ? queue.size : 0;
    }

    enqueue(run: RunFunction, options?: Partial<RunnableOptions<T>>): void {
      const request = options?.request;
      if (!request) return;
      request.run = run;
      queue.push(request);
    }

    dequeue(): RunFunction | undefined {
      const selection = queue.take(clock.monotonic());
      if (!selection) return undefined;
      onStart(selection);
      return selection.request.run;
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
