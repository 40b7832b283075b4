/** What the selection of endpoints needs of the host that selects. */
import type {Clock} from '../clock/index.js';
import type {RandomSource} from '../random/index.js';
import type {RatesChange, ServiceRates} from '../servicerates/index.js';
import type {LimitChange} from './namedlimits.js';
import type {WithholdingChange} from './withheld.js';

/** The host that selects, and what it needs for that. */
export interface HostContext {
  readonly host: string;
  readonly zone: string;
  readonly clock: Clock;
  /** The region of each availability zone. */
  readonly regions: Readonly<Partial<Record<string, string>>>;
  /** Software versions whose endpoints are no capacity for new requests. */
  readonly excludedVersions?: (service: string) => ReadonlySet<string>;
  /**
   * Whether endpoints that state how long work takes are chosen by how fast they
   * are, and demand is measured by it. Otherwise all count as equally fast.
   */
  readonly balancesByRates?: boolean | undefined;
  /** How fast each endpoint serves requests; learned anew where absent. */
  readonly rates?: ServiceRates;
  /** Spreads choices; by default one that differs from host to host. */
  readonly random?: RandomSource;
  /** Called when the limit that an endpoint names has changed. */
  readonly onLimitChange?: (change: LimitChange) => void;
  /** Called when an endpoint has told that it leaves or wants no requests. */
  readonly onWithholdingChange?: (change: WithholdingChange) => void;
  /** Called when endpoints have stated how long work takes, or wrongly so. */
  readonly onRatesChange?: (change: RatesChange) => void;
}
