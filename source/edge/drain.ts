/** How a host that stops ends its requests, and the times that this may take. */
import type {Clock} from '../clock/index.js';
import type {Forwarder} from '../forward/index.js';
import type {CallerServer} from './callers.js';

/**
 * Milliseconds after the start of the drain for which the load balancer may
 * still open new connections.
 */
const BALANCER_DEREGISTRATION_MILLISECONDS = 2_600;
/** Milliseconds before the platform kills the process at which a drain ends. */
const EXIT_MARGIN_MILLISECONDS = 700;
/**
 * Milliseconds within which the last responses of a drain that has reached its
 * time limit must have left the process.
 */
const LAST_RESPONSES_MILLISECONDS = 400;

/** The components and actions of the host that the end of its requests needs. */
export interface DrainParts {
  readonly clock: Clock;
  readonly forwarder: Forwarder;
  readonly callers: CallerServer;
  /** Milliseconds from the start of the drain until the process is killed. */
  readonly graceMilliseconds: number;
  /** Whether the load balancer may know this host. */
  readonly isBalanced: boolean;
  /** Stores what other hosts need of this one. */
  readonly storeLastRecords: () => Promise<void>;
}

/**
 * Waits until the load balancer opens no more connections, then for the requests
 * in progress, and stores the last records. Resolves when the last responses have
 * been sent, or shortly before the process is killed.
 */
export async function endRequests(parts: DrainParts): Promise<void> {
  const {clock, forwarder, callers, storeLastRecords} = parts;
  const maxDrainMilliseconds =
    parts.graceMilliseconds - EXIT_MARGIN_MILLISECONDS;
  const stopAt = clock.monotonic() + maxDrainMilliseconds;
  forwarder.announceStop(stopAt);
  const drainTimeout = wait(clock, maxDrainMilliseconds);
  if (parts.isBalanced) await wait(clock, BALANCER_DEREGISTRATION_MILLISECONDS);
  callers.closeIdle();
  await Promise.race([forwarder.whenIdle(), drainTimeout]);
  forwarder.stop();
  await Promise.race([storeLastRecords(), drainTimeout]);
  const lastResponses = wait(clock, LAST_RESPONSES_MILLISECONDS);
  await Promise.race([forwarder.whenIdle(), lastResponses]);
  await Promise.race([callers.flush(), drainTimeout]);
}

function wait(clock: Clock, duration: number): Promise<void> {
  return new Promise(resolve => clock.after(duration, resolve));
}
