/** The error classes of the router, and the refusals that callers get. */
export {
  ArbutusslipError,
  ConnectTimeout,
  DescriptorShortage,
  PortError,
  SettingsError,
  StateChartError,
  WireError,
  type SettingsProblem,
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
