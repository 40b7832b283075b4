/** Who gets the messages on roll-outs. */
import type {RolloutReport, RolloutShare} from '../rollout/index.js';
import type {HostAddress} from './message.js';

/** The handlers of the messages on roll-outs. */
export interface RolloutHandlers {
  /** Called with what the leader allows this host in a roll-out. */
  readonly onRolloutShare: (leader: HostAddress, share: RolloutShare) => void;
  /** Called with what another host has seen of a roll-out. */
  readonly onRolloutReport: (host: HostAddress, report: RolloutReport) => void;
}
