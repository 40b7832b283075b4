/** The life cycle of a port that a process listens on. */
import {StateChart} from './chart.js';
import definition from './port.json' with {type: 'json'};

/** The life cycle of a port that a process listens on. */
export const portChart = new StateChart('port', definition);
