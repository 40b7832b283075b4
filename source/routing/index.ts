/** Routes, services, teams and limits of a configuration, and their lookup. */
export {homesOf, isHome, type Homes} from './homes.js';
export {
  RoutingTable,
  routingSchema,
  serviceFor,
  type Limits,
  type ScalingRange,
  type Route,
  type Routing,
  type Service,
  type Team,
} from './table.js';
