/** State charts of hosts, endpoints, leases and requests. */
export {StateChart} from './chart.js';
export {endpointChart} from './endpoint.js';
export {hostChart} from './host.js';
export {leaseChart} from './lease.js';
export {requestChart} from './request.js';
