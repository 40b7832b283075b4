/**
 * Runs the leases that this host contends for. `source/lease` decides what a
 * role does next; this module feeds it the log and the clock, appends the
 * records that result, and logs changes of state.
 */
import type {Clock} from '../clock/index.js';
import {
  initialLeaseRole,
  mayAct,
  updateRole,
  type Leases,
  type LeaseRole,
} from '../lease/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import type {LogRecord} from '../platform/index.js';

/** Dependencies of `LeaseManager`. */
export interface LeaseManagerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly incarnation: string;
  readonly append: (record: LogRecord) => Promise<unknown>;
  /**
   * When the last read that saw the end of the log was requested, in this
   * host's monotonic milliseconds.
   */
  readonly readAt: () => number;
}

/** The leases that a host contends for. */
export class LeaseManager {
  private readonly roles = new Map<string, LeaseRole>();
  private leaving = false;

  constructor(private readonly options: LeaseManagerOptions) {}

  /**
   * Starts to contend for a lease, or changes the delay of one. `claimDelay`,
   * in milliseconds, is added to the wait before a claim, so that other hosts
   * can claim first.
   */
  contend(lease: string, claimDelay: number): void {
    const existing = this.roles.get(lease);
    if (existing) {
      this.roles.set(lease, {...existing, claimDelay});
      return;
    }
    const {incarnation, clock} = this.options;
    const role = initialLeaseRole(
      lease,
      incarnation,
      clock.monotonic(),
      claimDelay,
    );
    this.roles.set(lease, role);
  }

  /** Updates the roles from the status of the leases in the log. */
  updateRoles(leases: Leases): void {
    const now = this.options.clock.monotonic();
    for (const [lease, role] of this.roles) {
      const status = leases.get(lease);
      this.setRole(role, updateRole(role, {kind: 'read', status, now}).role);
    }
  }

  /**
   * Claims, renews and gives up leases as time passes. To be called at regular
   * intervals; does nothing once this host is leaving.
   */
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
      this.setRole(role, after);
      if (append) this.append(append);
    }
  }

  /** Releases every lease that this host holds, and claims none after that. */
  leave(): void {
    this.leaving = true;
    const now = this.options.clock.monotonic();
    for (const role of [...this.roles.values()]) {
      const {role: after, append} = updateRole(role, {kind: 'leave', now});
      this.setRole(role, after);
      if (append) this.append(append);
    }
  }

  /** Whether this host holds a lease and may act under it now. */
  mayAct(lease: string): boolean {
    const role = this.roles.get(lease);
    return role !== undefined && mayAct(role, this.options.clock.monotonic());
  }

  /** The fencing token of a lease that this host holds; -1 if it does not. */
  fence(lease: string): number {
    const role = this.roles.get(lease);
    return role?.state === 'holding' ? (role.status?.fence ?? -1) : -1;
  }

  /** This host's roles for all its leases, for operators. */
  list(): LeaseRole[] {
    return [...this.roles.values()];
  }

  private setRole(before: LeaseRole, after: LeaseRole): void {
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
