/** The state of an endpoint as one host sees it. */
import {StateChart} from './chart.js';
import definition from './endpoint.json' with {type: 'json'};

/** The state of an endpoint as one host sees it. */
export const endpointChart = new StateChart('endpoint', definition);
