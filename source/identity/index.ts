/** The door of the identity folder. */
export {Identities, bearerOf, type Caller, ANONYMOUS_TEAM} from './identity.js';
export {keyExposed, type Inspected} from './exposure.js';
