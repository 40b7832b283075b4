/** The part that a host plays for a lease. */
import {Chart} from './chart.js';
import definition from './lease.json' with {type: 'json'};

/** The part that a host plays for a lease. */
export const leaseChart = new Chart('lease', definition);
