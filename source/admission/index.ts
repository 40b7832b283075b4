/** The door of the admission folder. */
export {Admission, type AdmissionOptions} from './admission.js';
export {Room, type Ticket, type Lane, laneKey} from './ticket.js';
export {WaitingQueue, type LaneCount, type Pick} from './queue.js';
export {Fairness} from './fairness.js';
export {FloorLedger} from './floor.js';
export {expectedWait} from './forecast.js';
