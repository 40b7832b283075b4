/** Authenticates callers by API key, and keeps their keys from endpoints. */
export {Identities, bearerOf, type Caller, ANONYMOUS_TEAM} from './identity.js';
export {keyExposed, type Inspected} from './exposure.js';
