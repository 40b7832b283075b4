/**
 * The work that callers ask for, by service: this host's own callers, which it
 * counts, and those of the other hosts, which have told. Orders, the division
 * of the engines and a host's share of them rest on it.
 */
import type {Clock} from '../clock/index.js';
import {afterPrompt, NO_WORK, steadyWork, type PromptWork} from './split.js';
import {engineTime, isLarge, type Prompt} from './work.js';

/** Milliseconds of engine time that callers have asked of a service of late. */
export interface ServiceWork {
  readonly service: string;
  readonly large: number;
  readonly small: number;
}

/** Share of shared parts that are read again before anything is known of it. */
const FIRST_MISSED_SHARE = 1;
/** Tokens after which half of what was seen of that share counts no more. */
const MISSED_HALF_LIFE_TOKENS = 60_000;

/** The work of the callers of all hosts. */
export class CallersWork {
  private readonly missed = new Map<string, number>();
  private readonly own = new Map<string, PromptWork>();
  private others: ReadonlyMap<string, ServiceWork> = new Map();

  constructor(private readonly clock: Clock) {}

  /** Notes a request of this host for a service whose engines have `slots`. */
  arrived(service: string, prompt: Prompt, slots: number): void {
    const before = this.own.get(service) ?? NO_WORK;
    const time = engineTime(prompt, slots, this.missedShare(service));
    const now = this.clock.monotonic();
    this.own.set(service, afterPrompt(before, isLarge(prompt), time, now));
  }

  /**
   * Notes how many tokens of shared parts a request was sent with, and how many
   * of them its engine has to read. Engines that have just started keep nothing,
   * and then the same callers bring several times the work.
   */
  sent(service: string, shared: number, unread: number): void {
    if (shared === 0) return;
    const before = this.missedShare(service);
    const kept = 0.5 ** (shared / MISSED_HALF_LIFE_TOKENS);
    const share = Math.min(unread / shared, 1);
    this.missed.set(service, before * kept + share * (1 - kept));
  }

  /** Takes over what the other hosts have told. */
  told(work: readonly ServiceWork[]): void {
    const others = new Map<string, ServiceWork>();
    for (const {service, large, small} of work) {
      const sum = others.get(service) ?? {service, large: 0, small: 0};
      others.set(service, {
        service,
        large: sum.large + large,
        small: sum.small + small,
      });
    }
    this.others = others;
  }

  /** Share of shared parts that engines of the service read again. */
  private missedShare(service: string): number {
    return this.missed.get(service) ?? FIRST_MISSED_SHARE;
  }

  /** The work of this host's callers, for the others. */
  list(): ServiceWork[] {
    return [...this.own.keys()].map(service => {
      const {large, small} = this.ofOwn(service);
      return {service, large: Math.round(large), small: Math.round(small)};
    });
  }

  /** The work of this host's callers. */
  ofOwn(service: string): PromptWork {
    const before = this.own.get(service) ?? NO_WORK;
    return steadyWork(before, this.clock.monotonic());
  }

  /** The work of the callers of all hosts. */
  ofAll(service: string): PromptWork {
    const own = this.ofOwn(service);
    const others = this.others.get(service);
    return {
      ...own,
      large: own.large + (others?.large ?? 0),
      small: own.small + (others?.small ?? 0),
    };
  }
}
