/** The role of one host in a lease, from following it to holding it. */
import {StateChart} from './chart.js';
import definition from './lease.json' with {type: 'json'};

/** The role of one host in a lease, from following it to holding it. */
export const leaseChart = new StateChart('lease', definition);
