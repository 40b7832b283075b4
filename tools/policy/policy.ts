/** What a policy is measured by: it takes arrivals and reports outcomes. */
import type {Clock} from '../../source/clock/index.js';
import type {Configuration} from '../../source/configuration/index.js';
import type {ModelEngine} from './engines.js';
import type {Arrival} from './trace.js';

/** What became of one request. */
export interface Outcome {
  readonly arrival: Arrival;
  readonly served: boolean;
  /** Milliseconds from arrival to the first token. */
  readonly first: number;
  /** Milliseconds between tokens. */
  readonly gap: number;
  /** Tokens that the caller got, and that were generated for nobody. */
  readonly tokens: number;
  readonly wasted: number;
  readonly cheap: boolean;
  readonly refusal: string;
}

/** What a policy works with. */
export interface Site {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly engines: ReadonlyMap<string, ModelEngine>;
  /** Zone of each host. */
  readonly hosts: readonly string[];
  readonly done: (outcome: Outcome) => void;
}

/** A way to route the requests of a site. */
export abstract class Policy {
  abstract arrive(arrival: Arrival): void;
  /** What the load reports say now, as late as they come. */
  abstract report(engine: ModelEngine): void;
  abstract configure(configuration: Configuration): void;
}
