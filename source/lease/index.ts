/** Decides from the log which host holds a lease, and when it may act. */
export {
  applyLeaseRecord,
  type LeaseRecord,
  type LeaseStatus,
  type Leases,
} from './status.js';
export {
  initialLeaseRole,
  mayAct,
  updateRole,
  LEASE_DURATION_MILLISECONDS,
  type LeaseEvent,
  type LeaseRole,
  type RoleUpdate,
} from './role.js';
