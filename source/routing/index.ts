/** The door of the routing folder. */
export {homesOf, isHome, type Homes} from './homes.js';
export {
  RoutingTable,
  routingSchema,
  serviceFor,
  type Limits,
  type Range,
  type Route,
  type Routing,
  type Service,
  type Team,
} from './table.js';
