/** Routes, services, teams and limits of a configuration, and their lookup. */
export {
  allowedRegionsFor,
  isRegionAllowed,
  type AllowedRegions,
} from './regions.js';
export {tierOf} from './tier.js';
export {
  RoutingTable,
  routingConfigurationSchema,
  serviceFor,
  type Limits,
  type ScalingRange,
  type Route,
  type RoutingConfiguration,
  type Service,
  type Team,
} from './table.js';
