/** What hosts do together: discovery, leases, log, slots, endpoints, usage. */
export {Membership, type Member} from './membership.js';
export {GrantedSlotQuotas} from './grantedquotas.js';
export {CreditCoordinator, type CreditCoordinatorOptions} from './credits.js';
export {EndpointMonitor, type EndpointMonitorOptions} from './monitor.js';
export {LeaseManager, type LeaseManagerOptions} from './lease.js';
export {UsageTracker, type UsageTrackerOptions} from './usage.js';
export {LogReplica, type LogReplicaOptions} from './log.js';
export {HostDiscovery, type HostDiscoveryOptions} from './discovery.js';
export {zoneLeaseName} from './leasenames.js';
