/** Streams that are gathered until they are appended to the store together. */
import type {BegunGroup} from './record.js';

/** Attempts that are gathered at most, as in a long outage of the store. */
const MAX_ATTEMPTS = 10_000;

/** Streams by service and version, until they are taken. */
export class PendingGroups {
  private readonly groups = new Map<string, BegunGroup>();
  private attempts = 0;

  /** Adds a group; drops what was gathered where there is too much of it. */
  addGroup({service, version, isMixed, attempts}: BegunGroup): void {
    if (this.attempts + attempts.length > MAX_ATTEMPTS) this.take();
    const key = JSON.stringify([service, version]);
    const before = this.groups.get(key);
    this.attempts += attempts.length;
    this.groups.set(key, {
      service,
      version,
      isMixed: isMixed || before?.isMixed === true,
      attempts: [...(before?.attempts ?? []), ...attempts],
    });
  }

  /** Returns all that was gathered and begins anew. */
  take(): BegunGroup[] {
    const groups = [...this.groups.values()];
    this.groups.clear();
    this.attempts = 0;
    return groups;
  }
}
