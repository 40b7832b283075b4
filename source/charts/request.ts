/** The life cycle of one caller's request in a host. */
import {Chart} from './chart.js';
import definition from './request.json' with {type: 'json'};

/** The life cycle of one caller's request in a host. */
export const requestChart = new Chart('request', definition);
