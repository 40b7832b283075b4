/** Decides from the log which host holds a lease, and when it may act. */
export {
  foldLease,
  type LeaseRecord,
  type LeaseStanding,
  type Leases,
} from './standing.js';
export {
  following,
  mayAct,
  updateRole,
  LEASE_MILLISECONDS,
  type LeaseEvent,
  type LeaseRole,
  type RoleUpdate,
} from './role.js';
