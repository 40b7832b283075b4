/**
 * An inference engine on a manual clock that batches its requests, prefills
 * prompts in chunks between decoding steps, admits the most urgent request first
 * and, when its slots or its memory run out, preempts the newest of the least
 * urgent ones.
 */

/** What a request is to the engine. */
export interface EngineRequest {
  /** As the request states it; 0 is the most urgent. */
  readonly priority: number;
  /** Its place in the order that operators mean; 0 is the most urgent. */
  readonly urgency: number;
  readonly promptTokens: number;
  /** Tokens of the prompt that the engine has to prefill. */
  readonly uncachedTokens: number;
  readonly outputTokens: number;
  readonly onFirstToken: (at: number) => void;
  readonly onEnd: () => void;
}

/** The sizes of an engine. */
export interface EngineSizes {
  readonly slots: number;
  /** Tokens that fit into its memory. */
  readonly memory: number;
}

interface Run {
  readonly request: EngineRequest;
  readonly order: number;
  prefillLeft: number;
  generated: number;
}

const PREFILL_TOKENS_PER_MILLISECOND = 56.9;
const CHUNK_TOKENS = 2_048;
const STEP_MILLISECONDS = 3.09;
const STEP_MILLISECONDS_PER_RUN = 0.102;

/** One engine. */
export class SimulatedEngine {
  /** Requests that were preempted. */
  preempted = 0;
  /** Requests that were preempted while a less urgent one ran on. */
  preemptedBeforeLessUrgent = 0;
  private readonly waiting: Run[] = [];
  private running: Run[] = [];
  private time = 0;
  private order = 0;

  constructor(private readonly sizes: EngineSizes) {}

  get load(): {running: number; waiting: number; slots: number} {
    const {slots} = this.sizes;
    const {running, waiting} = this;
    return {running: running.length, waiting: waiting.length, slots};
  }

  add(request: EngineRequest): void {
    const order = this.order++;
    const prefillLeft = request.uncachedTokens;
    this.waiting.push({request, order, prefillLeft, generated: 0});
  }

  /** Runs up to a time in milliseconds. */
  advanceTo(now: number): void {
    while (this.time < now) {
      this.admit();
      if (this.running.length === 0) {
        this.time = now;
        return;
      }
      this.step();
    }
  }

  private get usedMemory(): number {
    return this.running.reduce(
      (sum, {request, generated}) => sum + request.promptTokens + generated,
      0,
    );
  }

  private admit(): void {
    for (;;) {
      const [next] = this.waiting.sort(byUrgency);
      if (!next) return;
      const {slots, memory} = this.sizes;
      const isFull =
        this.running.length >= slots ||
        this.usedMemory + next.request.promptTokens > memory;
      if (isFull && !this.preemptFor(next.request.priority)) return;
      if (isFull) continue;
      this.waiting.shift();
      this.running.push(next);
    }
  }

  /** Preempts the newest of the least urgent runs if it is below a priority. */
  private preemptFor(priority: number): boolean {
    const last = [...this.running].sort(byUrgency).at(-1);
    if (!last || last.request.priority <= priority) return false;
    this.preempt(last);
    return true;
  }

  private preempt(run: Run): void {
    this.running = this.running.filter(other => other !== run);
    this.preempted++;
    const {urgency} = run.request;
    if (this.running.some(({request}) => request.urgency > urgency))
      this.preemptedBeforeLessUrgent++;
    run.prefillLeft = run.request.promptTokens + run.generated;
    this.waiting.push(run);
  }

  /** One decoding step, with a chunk of a prompt where one is to be prefilled. */
  private step(): void {
    const prefilling = [...this.running]
      .sort(byUrgency)
      .find(({prefillLeft}) => prefillLeft > 0);
    const decoding = this.running.filter(({prefillLeft}) => prefillLeft === 0);
    if (prefilling) {
      const chunk = Math.min(prefilling.prefillLeft, CHUNK_TOKENS);
      prefilling.prefillLeft -= chunk;
      this.time += chunk / PREFILL_TOKENS_PER_MILLISECOND;
    }
    this.time += STEP_MILLISECONDS;
    this.time += decoding.length * STEP_MILLISECONDS_PER_RUN;
    for (const run of decoding) this.generate(run);
    while (this.usedMemory > this.sizes.memory && this.running.length > 1) {
      const last = [...this.running].sort(byUrgency).at(-1);
      if (last) this.preempt(last);
    }
  }

  private generate(run: Run): void {
    run.generated++;
    if (run.generated === 1) run.request.onFirstToken(this.time);
    if (run.generated < run.request.outputTokens) return;
    this.running = this.running.filter(other => other !== run);
    run.request.onEnd();
  }
}

function byUrgency(one: Run, other: Run): number {
  return (
    one.request.priority - other.request.priority || one.order - other.order
  );
}
