/** The door of the engine folder. */
export {
  EndpointAdapter,
  loadReportSchema,
  type Answer,
  type LoadReport,
  type Order,
} from './adapter.js';
export {HttpEndpointAdapter, type AdapterBounds} from './http.js';
export {eventReader, type StreamEvent} from './events.js';
