/** The door of the capacity folder. */
export {
  planZones,
  type Situation,
  type ZonePlan,
  type ZoneSupply,
} from './plan.js';
