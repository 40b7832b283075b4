/**
 * The model of the engines: so many requests at once, the rest in line, a
 * token each in turn, slower the fuller. A request's pace is set when it
 * starts, which is enough to compare policies.
 */
import type {Cancel, Clock} from '../../source/clock/index.js';
import type {Endpoint} from '../../source/configuration/index.js';

/** What an engine does for a request. */
export interface Served {
  readonly tokens: number;
  /** Called at the first token, with the milliseconds between later ones. */
  readonly first: (gap: number) => void;
  /** Called at the end; `tokens` were generated, all of them or fewer. */
  readonly ended: (whole: boolean, tokens: number) => void;
}

interface Job extends Served {
  readonly startedAt: number;
  prompt: number;
  gap: number;
  cancel: Cancel;
}

const PROMPT_MILLISECONDS = 150;
const TOKEN_MILLISECONDS = 25;
const LOAD_SLOWDOWN = 0.6;

/** Mean milliseconds that a request takes at a full engine in good health. */
export function serviceTime(tokens: number): number {
  return (
    PROMPT_MILLISECONDS + tokens * TOKEN_MILLISECONDS * (1 + LOAD_SLOWDOWN)
  );
}

/** One engine. */
export class ModelEngine {
  slowdown = 1;
  state: 'cold' | 'warm' | 'leaving' = 'warm';
  crashed = false;
  /** Most that it ran at once while cold. */
  coldMost = 0;
  /** Requests that it took while it was leaving, crashed or out. */
  tokens = 0;
  private readonly running = new Set<Job>();
  private readonly waiting: Job[] = [];

  constructor(
    readonly endpoint: Endpoint,
    private readonly clock: Clock,
  ) {}

  get load(): number {
    return this.running.size + this.waiting.length;
  }

  /** Takes a request; answers how to cancel it, or nothing if it is down. */
  take(served: Served): Cancel | undefined {
    if (this.crashed) return undefined;
    const job: Job = {
      ...served,
      startedAt: 0,
      prompt: 0,
      gap: 0,
      cancel: () => {},
    };
    this.waiting.push(job);
    this.admit();
    if (this.state === 'cold')
      this.coldMost = Math.max(this.coldMost, this.load);
    return () => this.stop(job);
  }

  /** Everything that it runs is lost. */
  crash(): void {
    this.crashed = true;
    for (const job of [...this.running, ...this.waiting]) this.stop(job);
  }

  private admit(): void {
    while (this.running.size < this.endpoint.slots) {
      const job = this.waiting.shift();
      if (!job) return;
      this.running.add(job);
      this.begin(job);
    }
  }

  private begin(job: Job): void {
    const share = this.running.size / this.endpoint.slots;
    job.prompt = PROMPT_MILLISECONDS * this.slowdown;
    job.gap = TOKEN_MILLISECONDS * this.slowdown * (1 + LOAD_SLOWDOWN * share);
    Object.assign(job, {startedAt: this.clock.monotonic()});
    job.cancel = this.clock.after(job.prompt, () => {
      job.first(job.gap);
      job.cancel = this.clock.after(job.gap * (job.tokens - 1), () => {
        this.running.delete(job);
        this.tokens += job.tokens;
        job.ended(true, job.tokens);
        this.admit();
      });
    });
  }

  private stop(job: Job): void {
    const index = this.waiting.indexOf(job);
    if (index >= 0) this.waiting.splice(index, 1);
    const ran = this.running.delete(job);
    if (!ran && index < 0) return;
    job.cancel();
    const elapsed = this.clock.monotonic() - job.startedAt - job.prompt;
    const made = ran && elapsed > 0 ? Math.floor(elapsed / job.gap) + 1 : 0;
    const tokens = Math.min(made, job.tokens);
    this.tokens += tokens;
    job.ended(false, tokens);
    this.admit();
  }
}
