/** What the gossip of a host is created from. */
import type {LimitStatement} from '../balance/index.js';
import type {Clock} from '../clock/index.js';
import type {DescriptorBudget} from '../descriptors/index.js';
import type {Logger} from '../logging/index.js';
import type {SharingHosts} from '../membership/index.js';
import type {Metrics} from '../metrics/index.js';
import type {Sheet} from '../platform/index.js';
import type {BegunSuspect, CrashReport} from '../quarantine/index.js';
import type {Delivery} from '../recorder/index.js';
import type {PeerRecordPage, StorePosition} from '../store/index.js';
import type {BegunGroup} from '../versions/index.js';
import type {Feed, HostAddress, Pulse} from './message.js';
import type {OwnState} from './pulse.js';
import type {RolloutHandlers} from './rollouthandlers.js';

/** The dependencies of the gossip, and whom it tells of what. */
export interface GossipOptions extends RolloutHandlers {
  readonly self: HostAddress;
  /** Addresses of hosts through which this one finds the others. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /**
   * Returns what to report; of recent events, those of the last `period`
   * milliseconds.
   */
  readonly state: (period: number) => OwnState;
  /** Without it, other hosts may have any number of connections here. */
  readonly descriptors?: DescriptorBudget | undefined;
  /** Usage sheets of this host that may not be in the store yet. */
  readonly sheets: () => readonly Sheet[];
  /** The records of a topic from a position. */
  readonly records: (topic: string, position: StorePosition) => PeerRecordPage;
  /** Called with records that another host has sent. */
  readonly onRecords: (topic: string, page: PeerRecordPage) => void;
  /** Called with each report of a host that follows the store for others. */
  readonly onFeedReport: (feed: Feed) => void;
  /** Called with each pulse that has arrived. */
  readonly onPulse: (pulse: Pulse) => void;
  /** Called with what another host has seen of the crash of an endpoint. */
  readonly onCrashReport: (report: CrashReport) => void;
  /** Called with suspects with which answers have begun at another host. */
  readonly onBegunSuspects: (begun: readonly BegunSuspect[]) => void;
  /** Called with limits of endpoints that another host has been told. */
  readonly onLimits: (limits: readonly LimitStatement[]) => void;
  /** Called with streams that another host leaves to this one to append. */
  readonly onBegunStreams: (
    host: HostAddress,
    groups: readonly BegunGroup[],
    number: number | undefined,
  ) => void;
  /** Called when the begun streams that this host has sent to another are stored. */
  readonly onBegunStreamsStored: (number: number) => void;
  /** Called with usage sheets that another host leaves to this one to append. */
  readonly onSheets: (host: HostAddress, delivery: Delivery<Sheet>) => void;
  /** Called when the sheets that this host has sent to another are stored. */
  readonly onSheetsStored: (number: number) => void;
  /** Called when a host has turned up, started anew or become reachable again. */
  readonly onHostFound: (host: HostAddress) => void;
  /** Called when a host has become unreachable or has started anew. */
  readonly onHostLost: (host: HostAddress) => void;
  /** Called when it has changed which hosts share the limits, or how sure that is. */
  readonly onSharingChanged: (sharing: SharingHosts) => void;
  /** Monotonic milliseconds of the store's last answer, to this host or a feeder. */
  readonly storeAnsweredAt: () => number;
}
