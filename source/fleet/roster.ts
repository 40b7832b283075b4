/**
 * The platform's list of hosts: enters this one and reads the others. The list
 * lags, so it only says whom to seek; who is in reach is known by the links.
 */
import type {Clock} from '../clock/index.js';
import type {Metrics} from '../metrics/index.js';
import type {EqualSplitQuotas} from '../placement/index.js';
import type {HostEntry, Platform} from '../platform/index.js';
import type {Membership} from './membership.js';

/** Milliseconds between two readings of the list, for each host in it. */
const LIST_MILLISECONDS_PER_HOST = 60;

/** What a roster is made from. */
export interface RosterOptions {
  readonly clock: Clock;
  readonly platform: Platform;
  readonly metrics: Metrics;
  readonly membership: Membership;
  readonly split: EqualSplitQuotas;
  /** What this host enters of itself. */
  readonly entry: () => HostEntry;
  /** Called with the other hosts. */
  readonly listed: (others: readonly HostEntry[]) => void;
}

/** This host's dealings with the platform's list. */
export class Roster {
  /** Own monotonic milliseconds from which the list is read again. */
  private readFrom = -Infinity;

  constructor(private readonly options: RosterOptions) {}

  /**
   * Enters this host in the list, or renews it, and reads the list, which is
   * read the less often the longer it is.
   */
  async announce(): Promise<void> {
    const {platform, metrics, entry, clock} = this.options;
    try {
      await platform.announce(entry());
      const now = clock.monotonic();
      if (now < this.readFrom) return;
      const hosts = await platform.hosts();
      this.readFrom = now + hosts.length * LIST_MILLISECONDS_PER_HOST;
      this.take(hosts);
    } catch {
      metrics.count('announce-failed');
    }
  }

  private take(hosts: readonly HostEntry[]): void {
    const {membership, split, entry, listed} = this.options;
    const {incarnation} = entry();
    const others = hosts.filter(host => host.incarnation !== incarnation);
    membership.setListed(others);
    split.setHosts(membership.names());
    listed(others);
  }
}
