/** Selects an endpoint for each request, by the load of the endpoints. */
export {DemandTracker, type ServiceDemand} from './demand.js';
export type {HostContext} from './hostcontext.js';
export {EndpointSelector} from './selector.js';
export type {EndpointLoadReport} from './loadreports.js';
export type {EndpointRequirements, Reservation} from './reservation.js';
export {
  addToHistory,
  mayRetry,
  type RetryingHost,
  EMPTY_RETRY_HISTORY,
  type RetryBudget,
  type RetryHistory,
} from './budget.js';
export {
  chooseEngine,
  chooseLeastBusy,
  type Candidate,
  type Choice,
} from './choose.js';
export {
  NamedLimits,
  type LimitChange,
  type LimitStatement,
} from './namedlimits.js';
export {
  coldStartRate,
  isBelowRate,
  MIN_RATE,
  namedLimitRate,
  shareOfRate,
  withSend,
  type RecentSends,
} from './sharedrate.js';
export {
  EligibleEndpoints,
  type EndpointFilter,
  type HostLocation,
} from './eligible.js';
export {EligibleSet} from './eligibleset.js';
export {EndpointLoads} from './endpointloads.js';
export {
  Beliefs,
  isUnused,
  NO_HISTORY,
  withReport,
  withStatement,
  type BelievedLoad,
  type LoadHistory,
} from './loadhistory.js';
export {engineEstimate, plainEstimate, type Estimate} from './ratedcost.js';
export {chooseSpread, fillLevel, type SpreadInput} from './spread.js';
export {PrefixCacheIndex, type CachedPart} from './prefixcache.js';
export {
  applyLoadEvent,
  expectedLoad,
  expectedRequests,
  INITIAL_LOAD,
  isEjected,
  type EndpointLoad,
  type LoadEvent,
  type ReportedLoad,
} from './load.js';
export {
  hashToUnitInterval,
  rendezvousWeight,
  rendezvousOrder,
  rendezvousRank,
  RendezvousRanking,
} from './rendezvous.js';
export {WithheldEndpoints, type WithholdingChange} from './withheld.js';
export {OwnLoads, type CountedLoad, type SentRequest} from './ownloads.js';
export {hostPrefillLimit, hostSlotLimit, type HostLimitInput} from './share.js';
export {
  addPrompt,
  busyEngineCount,
  largeEngineCount,
  LARGE_PROMPT_RANKING_KEY,
  NO_DEMAND,
  unbiasedDemand,
  type EngineDemand,
} from './partition.js';
export {
  estimateEngineMilliseconds,
  isLargePrompt,
  estimatePrefillMilliseconds,
  affinityPart,
  sharedParts,
  sharedTokenCount,
  type Prompt,
  type PromptPart,
} from './prompt.js';
