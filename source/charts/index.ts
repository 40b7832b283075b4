/** State charts of hosts, endpoints, leases, ports and requests. */
export {StateChart} from './chart.js';
export {endpointChart} from './endpoint.js';
export {hostChart} from './host.js';
export {leaseChart} from './lease.js';
export {portChart} from './port.js';
export {requestChart} from './request.js';
