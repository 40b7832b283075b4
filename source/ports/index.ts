/** The ports that a process listens on. */
export {Port, PORT_ERROR_EXIT_CODE, type PortOptions} from './port.js';
