/** Whether a note is in force on every host, and where it is not. */
import type {Clock} from '../clock/index.js';
import type {HostEntry, Platform} from '../platform/index.js';
import {callJson} from '../wire/index.js';
import {hostStatusSchema, type HostStatus} from './status.js';

/** A host of the platform's list with what it says of itself, if it does. */
export interface HostReach {
  readonly host: HostEntry;
  readonly status: HostStatus | undefined;
}

/** The hosts on which a note is in force, and the others. */
export interface Following {
  readonly inForce: readonly string[];
  readonly lagging: readonly string[];
}

const STATUS_BOUND_MILLISECONDS = 1_000;
const PERIOD_MILLISECONDS = 100;

/** What every host of the platform's list says of itself. */
export async function statuses(platform: Platform): Promise<HostReach[]> {
  const hosts = await platform.hosts();
  return Promise.all(hosts.map(reachOf));
}

async function reachOf(host: HostEntry): Promise<HostReach> {
  const call = {
    address: host.operators,
    method: 'GET',
    path: '/status',
    bound: STATUS_BOUND_MILLISECONDS,
  };
  try {
    return {host, status: await callJson(call, hostStatusSchema)};
  } catch {
    return {host, status: undefined};
  }
}

/**
 * Waits until the log entry at an offset is applied everywhere, for `bound`
 * milliseconds at most.
 *
 * ```ts
 * const {lagging} = await follow(platform, offset, 3_000, clock);
 * ```
 */
export async function follow(
  platform: Platform,
  offset: number,
  bound: number,
  clock: Clock,
): Promise<Following> {
  const deadline = clock.monotonic() + bound;
  for (;;) {
    const following = split(await statuses(platform), offset);
    const done = following.lagging.length === 0;
    if (done || clock.monotonic() >= deadline) return following;
    await new Promise<void>(resolve => {
      clock.after(PERIOD_MILLISECONDS, resolve);
    });
  }
}

function split(reaches: readonly HostReach[], offset: number): Following {
  const inForce: string[] = [];
  const lagging: string[] = [];
  for (const {host, status} of reaches) {
    const applied = status !== undefined && status.applied >= offset;
    (applied ? inForce : lagging).push(host.name);
  }
  return {inForce, lagging};
}
