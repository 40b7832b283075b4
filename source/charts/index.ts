/** The door of the charts folder. */
export {Chart} from './chart.js';
export {
  requestChart,
  hostChart,
  endpointChart,
  leaseChart,
} from './machines.js';
