/** What hosts do together: discovery, leases, log, slots, endpoints, usage. */
export {Membership, type Member} from './membership.js';
export {GrantedAllowances} from './allowances.js';
export {CreditDesk, type CreditDeskOptions} from './credits.js';
export {EndpointWatch, type EndpointWatchOptions} from './watch.js';
export {LeaseDesk, type LeaseDeskOptions} from './lease.js';
export {UsageDesk, type UsageDeskOptions} from './usage.js';
export {LogDesk, type LogDeskOptions} from './log.js';
export {Roster, type RosterOptions} from './roster.js';
export {zoneLeaseOf} from './names.js';
