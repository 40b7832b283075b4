/** Signals that endpoints may be unreachable, from this host and from others. */
import type {EndpointEntry, KnownEndpoint} from '../directory/index.js';

/** Counts the signals about each endpoint. */
export class UnreachableSignals {
  /** How many other hosts report that they cannot reach an endpoint, by id. */
  private reports: ReadonlyMap<string, number> = new Map();

  /** Replaces the reports; an id occurs once for each host that reports it. */
  setReports(ids: readonly string[]): void {
    const reports = new Map<string, number>();
    for (const id of ids) reports.set(id, (reports.get(id) ?? 0) + 1);
    this.reports = reports;
  }

  /**
   * Returns the signals about an endpoint, given those that this host cannot
   * reach. When one is unreachable the network path to its zone may be cut, so
   * the other endpoints of that zone become less preferred.
   *
   * ```ts
   * const signals = unreachable.counter(selector.unreachableEndpoints());
   * ```
   */
  counter(
    unreachable: readonly KnownEndpoint[],
  ): (entry: EndpointEntry) => number {
    const zones = new Map<string, number>();
    for (const {entry} of unreachable) {
      zones.set(entry.zone, (zones.get(entry.zone) ?? 0) + 1);
    }
    const {reports} = this;
    return ({id, zone}) => (reports.get(id) ?? 0) + (zones.get(zone) ?? 0);
  }
}
