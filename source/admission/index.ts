/** Admission control: when each request starts, or that it is refused. */
export {Admission, type AdmissionOptions} from './admission.js';
export {
  CapacityProvider,
  type AdmissionRequest,
  type CapacityShortage,
  type SchedulingGroup,
  type StreamContinuation,
  groupKey,
} from './request.js';
export {AdmissionQueue, type GroupCount, type Selection} from './queue.js';
export {FairQueue, type FairlyQueued} from './fairqueue.js';
export {VirtualTokenCounters} from './fairness.js';
export {FloorTracker} from './floor.js';
export {expectedWait} from './forecast.js';
