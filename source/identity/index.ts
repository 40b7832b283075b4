/** Authenticates callers by API key, and keeps their keys from endpoints. */
export {
  Authenticator,
  parseBearerToken,
  type Caller,
  ANONYMOUS_TEAM,
} from './authenticator.js';
export {isKeyExposed, type InspectedRequest} from './exposure.js';
