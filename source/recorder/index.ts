/** The recorder of a zone, which appends to the store for the others of its zone. */
export {
  RecorderRelay,
  type Delivery,
  type RecorderLink,
  type RecorderRelayOptions,
} from './relay.js';
