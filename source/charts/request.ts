/** The life cycle of one caller's request in a host. */
import {StateChart} from './chart.js';
import definition from './request.json' with {type: 'json'};

/** The life cycle of one caller's request in a host. */
export const requestChart = new StateChart('request', definition);
