/** What recent records of all hosts say of the versions that served. */
import type {BegunStreamsRecord} from './record.js';

/** The versions that records of the last `lifetime` milliseconds name. */
export class RecordedVersions {
  /** By service and version: Unix milliseconds of the newest record. */
  private readonly named = new Map<string, Map<string, number>>();
  /** By service: Unix milliseconds of the newest record of several versions. */
  private readonly mixed = new Map<string, number>();

  constructor(private readonly lifetime: number) {}

  apply({at, groups}: BegunStreamsRecord): void {
    for (const {service, version, isMixed} of groups) {
      const named = this.named.get(service) ?? new Map<string, number>();
      named.set(version, Math.max(named.get(version) ?? 0, at));
      this.named.set(service, named);
      if (isMixed)
        this.mixed.set(service, Math.max(this.mixed.get(service) ?? 0, at));
    }
  }

  /** The versions of a service that recent records name. */
  versions(service: string, unixNow: number): ReadonlySet<string> {
    const named = [...(this.named.get(service) ?? [])];
    const recent = named.filter(([, at]) => unixNow - at <= this.lifetime);
    return new Set(recent.map(([version]) => version));
  }

  /** Whether a recent record says that several versions served side by side. */
  isMixed(service: string, unixNow: number): boolean {
    const at = this.mixed.get(service) ?? -Infinity;
    return unixNow - at <= this.lifetime;
  }
}
