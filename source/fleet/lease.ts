/** Carries out what the roles of this host for its leases decide. */
import type {Clock} from '../clock/index.js';
import {
  following,
  mayAct,
  updateRole,
  type Leases,
  type LeaseRole,
} from '../lease/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {LogRecord} from '../platform/index.js';

/** What a lease desk is made from. */
export interface LeaseDeskOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly incarnation: string;
  readonly append: (record: LogRecord) => Promise<unknown>;
  /** Own monotonic milliseconds of the read that last saw the end of the log. */
  readonly readAt: () => number;
}

/** The leases that a host contends for. */
export class LeaseDesk {
  private readonly roles = new Map<string, LeaseRole>();
  private leaving = false;

  constructor(private readonly options: LeaseDeskOptions) {}

  /** Contends for a lease; `patience` lets others go first, in milliseconds. */
  contend(lease: string, patience: number): void {
    const present = this.roles.get(lease);
    if (present) {
      this.roles.set(lease, {...present, patience});
      return;
    }
    const {incarnation, clock} = this.options;
    const role = following(lease, incarnation, clock.monotonic(), patience);
    this.roles.set(lease, role);
  }

  /** Takes over what the log says of the leases. */
  read(leases: Leases): void {
    const now = this.options.clock.monotonic();
    for (const [lease, role] of this.roles) {
      const standing = leases.get(lease);
      this.put(role, updateRole(role, {kind: 'read', standing, now}).role);
    }
  }

  /** Lets time pass: claims, renews and gives up. */
  tick(): void {
    if (this.leaving) return;
    const now = this.options.clock.monotonic();
    const readAt = this.options.readAt();
    for (const role of [...this.roles.values()]) {
      const {role: after, append} = updateRole(role, {
        kind: 'tick',
        now,
        readAt,
      });
      this.put(role, after);
      if (append) this.append(append);
    }
  }

  /** Gives up every lease. */
  leave(): void {
    this.leaving = true;
    const now = this.options.clock.monotonic();
    for (const role of [...this.roles.values()]) {
      const {role: after, append} = updateRole(role, {kind: 'leave', now});
      this.put(role, after);
      if (append) this.append(append);
    }
  }

  /** Whether this host may act for a lease, at this very moment. */
  mayAct(lease: string): boolean {
    const role = this.roles.get(lease);
    return role !== undefined && mayAct(role, this.options.clock.monotonic());
  }

  /** The fencing number under which this host holds a lease; -1 for none. */
  fence(lease: string): number {
    const role = this.roles.get(lease);
    return role?.state === 'holding' ? (role.standing?.fence ?? -1) : -1;
  }

  /** The roles, for operators. */
  list(): LeaseRole[] {
    return [...this.roles.values()];
  }

  private put(before: LeaseRole, after: LeaseRole): void {
    this.roles.set(after.lease, after);
    if (before.state === after.state) return;
    const {lease, state} = after;
    this.options.metrics.count('lease', {lease, state});
    this.options.logger.info('lease', {lease, state});
  }

  private append(record: LogRecord): void {
    this.options
      .append(record)
      .catch(() =>
        this.options.metrics.count('append-failed', {kind: 'lease'}),
      );
  }
}
