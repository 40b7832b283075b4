/** Endpoint selection: tracks the load of endpoints and picks one for each request. */
export {CallersWork, type ServiceWork} from './callers.js';
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
export {coldShare, mayAdd, withSend, type ColdSends} from './cold.js';
export {KeptParts, type KeptPart} from './kept.js';
export {
  afterLoad,
  expectedReading,
  expectedRequests,
  IDLE_LOAD,
  isAvoided,
  type EndpointLoad,
  type LoadEvent,
  type NamedLoad,
} from './load.js';
export {pointOf, pull, rankedFor, rankOf} from './rank.js';
export {ownPlaces, type ShareBasis} from './share.js';
export {
  afterPrompt,
  busyEngines,
  largeEngines,
  NO_WORK,
  steadyWork,
  type PromptWork,
} from './split.js';
export {
  engineTime,
  isLarge,
  readingTime,
  sharedPart,
  sharedParts,
  sharedTokens,
  type Prompt,
  type PromptPart,
} from './work.js';
