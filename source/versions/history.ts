/**
 * The software versions that this host has seen of each service, with the time
 * at which each was last seen, and since when it has missed none.
 */
import {
  versionOf,
  type Directory,
  type EntryChange,
} from '../directory/index.js';

/** Endpoints that are remembered; beyond that the oldest are forgotten. */
const MAX_KNOWN_ENDPOINTS = 4_096;

/** The versions of all services over the last time. */
export class VersionHistory {
  private directory: Directory = new Map();
  /**
   * Monotonic milliseconds since which no entry has come and gone unseen;
   * Infinity before the first directory.
   */
  private followedSince = Infinity;
  /** By service and version: when it was last in a directory, monotonic. */
  private readonly lastSeen = new Map<string, Map<string, number>>();
  /** Ids of the endpoints that have been seen, the oldest first. */
  private readonly known = new Set<string>();

  /** Replaces the directory. */
  setDirectory(directory: Directory, now: number): void {
    if (directory === this.directory) return;
    this.recordPresent(now);
    this.directory = directory;
    this.recordPresent(now);
    if (directory.size > 0)
      this.followedSince = Math.min(this.followedSince, now);
  }

  /**
   * Records entries that were written or removed, those too that are replaced
   * before the next directory. The removal of an endpoint that was never seen
   * says that its version served unseen.
   */
  recordEntries(changes: readonly EntryChange[], now: number): void {
    for (const {id, entry} of changes) {
      if (!entry && !this.known.has(id)) this.recordMissed(now);
      this.remember(id);
      if (entry) this.recordSeen(entry, now);
    }
  }

  /** Records that entries may have come and gone unseen until now. */
  recordMissed(now: number): void {
    if (this.followedSince !== Infinity) this.followedSince = now;
  }

  /**
   * The versions of a service that were there at some time since `since`, among
   * them `UNSTATED_VERSION` if an endpoint stated none.
   */
  versionsSince(
    service: string,
    since: number,
    now: number,
  ): ReadonlySet<string> {
    this.recordPresent(now);
    const seen = [...(this.lastSeen.get(service) ?? [])];
    return new Set(seen.filter(([, at]) => at >= since).map(([name]) => name));
  }

  /**
   * Whether this host has missed no entry since a monotonic time, if the directory
   * is up to date.
   */
  hasFollowedSince(since: number): boolean {
    return this.followedSince <= since;
  }

  /** Whether an endpoint of a service is there. */
  hasEndpoint(service: string): boolean {
    return [...this.directory.values()].some(
      ({entry}) => entry.service === service,
    );
  }

  /** Whether an endpoint of a service was started before a Unix time. */
  hasEndpointBornBefore(service: string, unixMilliseconds: number): boolean {
    return [...this.directory.values()].some(
      ({entry}) =>
        entry.service === service &&
        (entry.born ?? Infinity) < unixMilliseconds,
    );
  }

  private recordPresent(now: number): void {
    for (const {entry} of this.directory.values()) this.recordSeen(entry, now);
  }

  private recordSeen(entry: SeenEntry, now: number): void {
    const {service} = entry;
    const versions = this.lastSeen.get(service) ?? new Map<string, number>();
    this.lastSeen.set(service, versions.set(versionOf(entry), now));
  }

  private remember(id: string): void {
    this.known.delete(id);
    this.known.add(id);
    if (this.known.size <= MAX_KNOWN_ENDPOINTS) return;
    const [oldest] = this.known;
    if (oldest !== undefined) this.known.delete(oldest);
  }
}

/** What an entry says of the version that serves. */
interface SeenEntry {
  readonly service: string;
  readonly softwareVersion?: string | undefined;
}
