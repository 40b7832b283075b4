/** Capacity planning: how many endpoints of a service each zone needs. */
export {
  planZones,
  type PlanInput,
  type ZonePlan,
  type ZoneSupply,
} from './plan.js';
