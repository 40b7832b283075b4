/** Selects an endpoint for each request, by the load of the endpoints. */
export {DemandTracker, type ServiceWork} from './callers.js';
export {
  EndpointBook,
  type Demand,
  type EndpointUse,
  type Place,
  type Surroundings,
} from './book.js';
export {
  counted,
  mayRepeat,
  NO_REPEATS,
  type RepeatBound,
  type RepeatCount,
} from './budget.js';
export {
  chooseEngine,
  chooseLeastBusy,
  type Candidate,
  type Choice,
} from './choose.js';
export {
  coldStartRate,
  isBelowRate,
  withSend,
  type ColdStartSends,
} from './cold.js';
export {PrefixCacheIndex, type KeptPart} from './kept.js';
export {
  applyLoadEvent,
  expectedPrefillMilliseconds,
  expectedRequests,
  INITIAL_LOAD,
  isEjected,
  type EndpointLoad,
  type LoadEvent,
  type NamedLoad,
} from './load.js';
export {pointOf, rendezvousWeight, rankedFor, rankOf} from './rank.js';
export {hostSlotLimit, type SlotLimitInput} from './share.js';
export {
  addPrompt,
  busyEngineCount,
  largeEngineIds,
  NO_DEMAND,
  unbiasedDemand,
  type EngineDemand,
} from './split.js';
export {
  estimateEngineMilliseconds,
  isLargePrompt,
  estimatePrefillMilliseconds,
  affinityPart,
  sharedParts,
  sharedTokenCount,
  type Prompt,
  type PromptPart,
} from './work.js';
