/** One host of a soak, with all that is done to it. */
import type {HostProcess} from '../test/support/edgeprocess.js';
import type {FaultyProxy} from './proxy.js';

/** One host with all that is done to it. */
export interface Station {
  process: HostProcess;
  readonly store: FaultyProxy;
  /** Disturbances other than planned work, and how many have ended. */
  disturbed: number;
  calmed: number;
  /** Whether its process is meant to run. */
  up: boolean;
  /** Whether it has been told to stop. */
  stopping: boolean;
  /** Ports of it that somebody else holds. */
  held: number;
  /** Freezes that have not ended. */
  frozen: number;
  /** Resolves when it has started, while it does. */
  starting: Promise<void> | undefined;
}
