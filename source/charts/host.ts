/** The life of a host. */
import {Chart} from './chart.js';
import definition from './host.json' with {type: 'json'};

/** The life of a host. */
export const hostChart = new Chart('host', definition);
