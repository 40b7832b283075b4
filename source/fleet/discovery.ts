/**
 * Registers this host in the platform's list of hosts and discovers the others
 * there. The list lags, so it only says which hosts to connect to; the links
 * show which hosts are reachable.
 */
import type {Clock} from '../clock/index.js';
import type {Metrics} from '../metrics/index.js';
import type {EqualSplitQuotas} from '../placement/index.js';
import type {HostEntry, Platform} from '../platform/index.js';
import type {Membership} from './membership.js';

/** Time between two reads of the list, for each host in it. */
const LIST_INTERVAL_PER_HOST_MILLISECONDS = 60;

/** Dependencies and callbacks of `HostDiscovery`. */
export interface HostDiscoveryOptions {
  readonly clock: Clock;
  readonly platform: Platform;
  readonly metrics: Metrics;
  readonly membership: Membership;
  readonly equalSplit: EqualSplitQuotas;
  /** This host's current entry for the list. */
  readonly entry: () => HostEntry;
  /** Called with the entries of all other hosts after each read. */
  readonly listed: (others: readonly HostEntry[]) => void;
}

/** Keeps this host in the platform's list of hosts and reads the others. */
export class HostDiscovery {
  /** When the list is next due, in this host's monotonic milliseconds. */
  private nextReadAt = -Infinity;

  constructor(private readonly options: HostDiscoveryOptions) {}

  /**
   * Adds this host to the list or renews its entry, then reads the list if that
   * is due. The interval between reads grows with the length of the list.
   * Failures are only counted; the next call tries again.
   */
  async announce(): Promise<void> {
    const {platform, metrics, entry, clock} = this.options;
    try {
      await platform.announce(entry());
      const now = clock.monotonic();
      if (now < this.nextReadAt) return;
      const hosts = await platform.hosts();
      this.nextReadAt =
        now + hosts.length * LIST_INTERVAL_PER_HOST_MILLISECONDS;
      this.applyList(hosts);
    } catch {
      metrics.count('announce-failed');
    }
  }

  private applyList(hosts: readonly HostEntry[]): void {
    const {membership, equalSplit, entry, listed} = this.options;
    const {incarnation} = entry();
    const others = hosts.filter(host => host.incarnation !== incarnation);
    membership.setListed(others);
    equalSplit.setHosts(membership.names());
    listed(others);
  }
}
