/**
 * Which hosts stand for the duties. Each that does calls the store once a
 * second, so in a large fleet only a few do, the same for all; they are more
 * than can be lost at once with those that follow them in rank.
 */
import {rankOf} from '../balance/index.js';

const STANDING_MOST = 12;
const KEY = 'duties';

/** Whether a host stands, among all that are believed to be there. */
export function standsForDuties(
  name: string,
  hosts: readonly string[],
): boolean {
  return rankOf(KEY, name, hosts) < STANDING_MOST;
}
