/** Converts the state of the log to a snapshot record and back. */
import {
  applySnapshot,
  emptyConfiguration,
  snapshotOf as configurationSnapshot,
} from '../configuration/index.js';
import type {Snapshot} from '../platform/index.js';
import type {FleetState, LogState} from './state.js';

/**
 * Creates a snapshot of a state, to append to the log. The state must be
 * complete (see isComplete).
 *
 * ```ts
 * await platform.append([{kind: 'snapshot', snapshot: takeSnapshot(state)}]);
 * ```
 */
export function takeSnapshot(state: LogState): Snapshot {
  return {
    covers: state.next - 1,
    configuration: configurationSnapshot(state.configuration),
    leases: [...state.leases].map(([lease, status]) => ({
      lease,
      ...status,
    })),
    usage: [...state.usage].map(([region, {closedThrough, windows}]) => ({
      region,
      closedThrough,
      windows: [...windows.values()].map(frozen => ({
        ...frozen,
        figures: [...frozen.figures],
        includes: [...frozen.includes],
      })),
    })),
  };
}

/** Returns the state that a snapshot holds. */
export function restoreSnapshot(snapshot: Snapshot): FleetState {
  const {configuration, leases, usage} = snapshot;
  return {
    configuration: applySnapshot(emptyConfiguration(), configuration),
    leases: new Map(leases.map(({lease, ...status}) => [lease, status])),
    usage: new Map(
      usage.map(({region, closedThrough, windows}) => [
        region,
        {
          closedThrough,
          windows: new Map(windows.map(item => [item.window, item])),
        },
      ]),
    ),
  };
}
