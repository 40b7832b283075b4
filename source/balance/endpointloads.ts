/** The loads of all endpoints of a host, and which of them it cannot reach. */
import {
  applyLoadEvent,
  INITIAL_LOAD,
  type EndpointLoad,
  type LoadEvent,
} from './load.js';

/** The loads of the endpoints, by id. */
export class EndpointLoads {
  private readonly loads = new Map<string, EndpointLoad>();
  private readonly unreachable = new Set<string>();

  /** `onEjectionChange` is called when the end of an ejection has changed. */
  constructor(private readonly onEjectionChange: () => void) {}

  /** The endpoints that this host cannot reach. */
  get unreachableIds(): ReadonlySet<string> {
    return this.unreachable;
  }

  get(id: string): EndpointLoad {
    return this.loads.get(id) ?? INITIAL_LOAD;
  }

  /** Those of which anything is known. */
  entries(): Iterable<[string, EndpointLoad]> {
    return this.loads;
  }

  /** Applies what has happened at an endpoint. */
  apply(id: string, event: LoadEvent): void {
    const before = this.get(id);
    const after = applyLoadEvent(before, event);
    this.loads.set(id, after);
    if (after.ejectedUntil !== before.ejectedUntil) this.onEjectionChange();
    if (after.isUnreachable !== before.isUnreachable)
      setMembership(this.unreachable, id, after.isUnreachable);
  }

  /** Discards what is known of an endpoint that has left or restarted. */
  remove(id: string): void {
    this.loads.delete(id);
    this.unreachable.delete(id);
  }
}

function setMembership(ids: Set<string>, id: string, isMember: boolean): void {
  if (isMember) ids.add(id);
  else ids.delete(id);
}
