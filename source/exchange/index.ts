/** Runs callers' requests: matches routes, makes attempts and sends responses. */
export {Exchange, ExchangeRegister} from './exchange.js';
export {admits, RouteTable, type Match} from './route.js';
export {readBody} from './body.js';
export {runChat} from './chat.js';
export {runService, type ServiceAnswer} from './service.js';
export {allowedHeaders, type OrderBase} from './order.js';
export {parseChatRequest, type ChatRequest} from './request.js';
export {type Plane} from './plane.js';
