/**
 * The endpoints of one service by version, as the directory has them. A value that
 * is derived once for each directory.
 */
import {rendezvousOrder} from '../balance/index.js';
import type {Directory} from '../directory/index.js';
import type {VersionRequirements} from './attempts.js';
import {newGroupAt, type EvidenceGroup} from './evidence.js';
import type {VersionChoice} from './participant.js';

/** The endpoints of a service, those of one version apart. */
export class EndpointVersions {
  /** Ready endpoints of the version, in an order that all hosts have. */
  private readonly ofVersion: readonly string[];
  private readonly indexes = new Map<string, number>();
  private readonly firsts = new Map<number, ReadonlySet<string>>();
  /** The other versions of ready endpoints. */
  readonly otherVersions: ReadonlySet<string>;
  /** Endpoints that are ready and of another version than those left out. */
  readonly others: number;

  constructor(
    directory: Directory,
    service: string,
    readonly version: string,
    excluded: readonly string[],
  ) {
    const ready = [...directory.values()].filter(
      ({entry}) => entry.service === service && !entry.leaving,
    );
    const ids = ready.flatMap(({entry}) =>
      entry.softwareVersion === version ? entry.id : [],
    );
    this.ofVersion = rendezvousOrder(version, ids);
    for (const [index, id] of this.ofVersion.entries())
      this.indexes.set(id, index);
    const others = ready.filter(({entry}) => {
      const {softwareVersion = ''} = entry;
      return softwareVersion !== version && !excluded.includes(softwareVersion);
    });
    this.others = others.length;
    this.otherVersions = new Set(
      others.map(({entry}) => entry.softwareVersion ?? ''),
    );
  }

  /** Endpoints of the version. */
  get count(): number {
    return this.ofVersion.length;
  }

  /** The first endpoints of the version; undefined for all of them. */
  first(count: number): ReadonlySet<string> | undefined {
    if (count === 0) return undefined;
    const known = this.firsts.get(count);
    if (known) return known;
    const ids = new Set(this.ofVersion.slice(0, count));
    this.firsts.set(count, ids);
    return ids;
  }

  /** What a choice requires, with the endpoints by id. */
  requirementsOf(choice: VersionChoice): VersionRequirements {
    return {...choice, endpoints: this.first(choice.endpoints)};
  }

  /** The group of an endpoint in the evidence. */
  groupOf(id: string, version: string | undefined): EvidenceGroup {
    if (version !== this.version) return 'old';
    return newGroupAt(this.indexes.get(id) ?? 0, this.count);
  }
}
