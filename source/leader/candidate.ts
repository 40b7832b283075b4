/**
 * Which hosts are candidates for leader. A candidate calls the store once a
 * second, so in a large fleet only a few hosts are candidates, and all hosts
 * pick the same ones. Together with the hosts that follow them in rank they are
 * more than can be lost at once.
 */
import {rendezvousRank} from '../balance/index.js';

const MAX_CANDIDATES = 12;
const RENDEZVOUS_KEY = 'duties';

/** Whether a host is a candidate among all hosts that are believed to be up. */
export function isLeaderCandidate(
  name: string,
  hosts: readonly string[],
): boolean {
  return rendezvousRank(RENDEZVOUS_KEY, name, hosts) < MAX_CANDIDATES;
}
