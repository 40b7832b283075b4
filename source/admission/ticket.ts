/**
 * A ticket is one request that waits for a place. Tickets that the same
 * endpoints could serve, and that have the same class, wait in one lane.
 */

/** What decides where a ticket may run and in what order. */
export interface Lane {
  readonly pool: string;
  readonly className: string;
  /** 1 is served first. */
  readonly tier: number;
  /** Least share of the pool's starts while the class waits. */
  readonly floorShare: number;
  /** Largest share of the class that may run on cheap endpoints. */
  readonly cheapShare: number;
  /** Whether its requests may be run again. */
  readonly repeatable: boolean;
  /** Regions in which its requests may run; undefined for all. */
  readonly homes?: readonly string[] | undefined;
}

/** One request that waits. */
export interface Ticket {
  readonly lane: Lane;
  readonly team: string;
  readonly weight: number;
  /** Tokens that the request is expected to cost. */
  readonly estimate: number;
  /** Milliseconds on the monotonic clock. */
  readonly arrived: number;
  /** Milliseconds that it may wait. */
  readonly bound: number;
  /** The prompt’s opening, for prefix affinity; empty where it has none. */
  readonly prefix: string;
}

/** The name of a lane, equal for lanes that can share a line. */
export function laneKey(lane: Lane): string {
  const {pool, className, repeatable, homes} = lane;
  const where = homes ? ` ${homes.join(' ')}` : '';
  return `${pool} ${className} ${repeatable ? 'any' : 'firm'}${where}`;
}

/** Says whether a lane’s next ticket could start now. */
export abstract class Room {
  abstract hasRoom(lane: Lane): boolean;
  /** Places that this host may fill in the pool. */
  abstract places(pool: string): number;
}
