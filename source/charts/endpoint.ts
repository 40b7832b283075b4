/** What a host knows about an endpoint. */
import {Chart} from './chart.js';
import definition from './endpoint.json' with {type: 'json'};

/** What a host knows about an endpoint. */
export const endpointChart = new Chart('endpoint', definition);
