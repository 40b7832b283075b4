/** How fast each endpoint serves requests at present. */
export {AnswerObserver, type SentPrompt, type SentRequest} from './answer.js';
export {ASSUMED_RATE, type ServiceRate} from './rate.js';
export {ServiceRates, type RatedEndpoints, type RatesChange} from './rates.js';
export {
  MAX_RATE_REPORTS,
  rateReportSchema,
  type RateReport,
} from './reports.js';
export {MAX_WORK_FACTOR, MIN_WORK_FACTOR} from './workfactor.js';
