/** The door of the platform folder. */
export {
  logRecordSchema,
  type LogRecord,
  type LogEntry,
  type LogPage,
  sheetSchema,
  type Sheet,
  snapshotSchema,
  type Snapshot,
} from './record.js';
export {
  Platform,
  hostEntrySchema,
  type HostEntry,
  type UsageReport,
  endpointOrderSchema,
  type EndpointOrder,
  usageReportSchema,
} from './platform.js';
export {HttpPlatform} from './http.js';
