/** The door of the platform folder. */
export {
  logRecordSchema,
  type LogRecord,
  type LogEntry,
  type LogPage,
} from './record.js';
export {
  Platform,
  hostEntrySchema,
  type HostEntry,
  type UsageReport,
  usageReportSchema,
} from './platform.js';
export {HttpPlatform} from './http.js';
