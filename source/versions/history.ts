/**
 * The software versions that this host has seen of each service, with the time
 * at which each was last seen.
 */
import type {Directory} from '../directory/index.js';

/** The versions of all services over the last time. */
export class VersionHistory {
  private directory: Directory = new Map();
  /** Monotonic milliseconds of the first directory; Infinity before it. */
  private followedSince = Infinity;
  /** By service and version: when it was last in a directory, monotonic. */
  private readonly lastSeen = new Map<string, Map<string, number>>();

  /** Replaces the directory. */
  setDirectory(directory: Directory, now: number): void {
    if (directory === this.directory) return;
    this.recordPresent(now);
    this.directory = directory;
    this.recordPresent(now);
    if (directory.size > 0)
      this.followedSince = Math.min(this.followedSince, now);
  }

  /** The versions of a service that were there at some time since `since`. */
  versionsSince(
    service: string,
    since: number,
    now: number,
  ): ReadonlySet<string> {
    this.recordPresent(now);
    const seen = [...(this.lastSeen.get(service) ?? [])];
    return new Set(seen.filter(([, at]) => at >= since).map(([name]) => name));
  }

  /** Whether this host has followed the directory since a monotonic time. */
  hasFollowedSince(since: number): boolean {
    return this.followedSince <= since;
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
    for (const {entry} of this.directory.values()) {
      const {service, softwareVersion} = entry;
      if (softwareVersion === undefined) continue;
      const versions = this.lastSeen.get(service) ?? new Map<string, number>();
      this.lastSeen.set(service, versions.set(softwareVersion, now));
    }
  }
}
