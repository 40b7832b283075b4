/** The charts that the program interprets, each from the JSON file of its name. */
import endpoint from './endpoint.json' with {type: 'json'};
import host from './host.json' with {type: 'json'};
import lease from './lease.json' with {type: 'json'};
import request from './request.json' with {type: 'json'};

import {Chart} from './chart.js';

/** The life of one caller's request in a host. */
export const requestChart = new Chart('request', request);

/** The life of a host. */
export const hostChart = new Chart('host', host);

/** What a host knows about an endpoint. */
export const endpointChart = new Chart('endpoint', endpoint);

/** The part that a host plays for a lease. */
export const leaseChart = new Chart('lease', lease);
