/** What every component of a host is created from. */
import type {Clock, CorrectedClock} from '../clock/index.js';
import type {GossipNode, HostAddress} from '../gossip/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {RandomSource} from '../random/index.js';
import type {PlatformParts} from './platform.js';
import type {EdgeSettings} from './settings.js';

/** Dependencies and settings of a host. */
export interface EdgeHostParts {
  readonly settings: EdgeSettings;
  readonly platform: PlatformParts;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: RandomSource;
}

/** The dependencies of a host as its components share them. */
export interface HostContext extends EdgeHostParts {
  /** The clock of all components, whose time of day does not jump. */
  readonly clock: CorrectedClock;
  /** Identifies this incarnation of the host to the others. */
  readonly address: HostAddress;
  /** The gossip, which is created last; none if there are no other hosts. */
  readonly gossip: () => GossipNode | undefined;
}
