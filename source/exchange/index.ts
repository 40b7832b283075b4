/** Runs callers' requests: matches routes, makes attempts and sends responses. */
export {Exchange, ExchangeRegistry} from './exchange.js';
export {isTeamAllowed, RouteTable, type RouteMatch} from './route.js';
export {readBody} from './body.js';
export {runChat} from './chat.js';
export {runService, type ServiceResponse} from './service.js';
export {allowedHeaders, type RequestTemplate} from './endpointrequest.js';
export {parseChatRequest, type ChatRequest} from './request.js';
export {type ServingResources} from './resources.js';
