/** The door of the errors folder. */
export {
  ArbutusslipError,
  SettingsError,
  ChartError,
  WireError,
} from './failure.js';
export {
  outcomeSchema,
  refusalCodeSchema,
  Refusal,
  OUTCOME_HEADER,
  refusalBodySchema,
  type Outcome,
  type RefusalBody,
  type RefusalCode,
} from './refusal.js';
