/** The life cycle of a host, from start to stop. */
import {StateChart} from './chart.js';
import definition from './host.json' with {type: 'json'};

/** The life cycle of a host, from start to stop. */
export const hostChart = new StateChart('host', definition);
