/** The door of the messages folder. */
export {
  helloSchema,
  messageSchema,
  PROTOCOL_VERSION,
  type Heartbeat,
  type Hello,
  type Message,
} from './message.js';
