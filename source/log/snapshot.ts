/** Snapshots: the fleet's state as one record, and back. */
import {
  applySnapshot,
  emptyConfiguration,
  snapshotOf as configurationSnapshot,
} from '../configuration/index.js';
import type {Snapshot} from '../platform/index.js';
import type {FleetState, Fold} from './fold.js';

/**
 * The snapshot of a fold, for the log.
 *
 * ```ts
 * await platform.append([{kind: 'snapshot', snapshot: takeSnapshot(fold)}]);
 * ```
 */
export function takeSnapshot(fold: Fold): Snapshot {
  return {
    covers: fold.next - 1,
    configuration: configurationSnapshot(fold.configuration),
    leases: [...fold.leases].map(([lease, standing]) => ({lease, ...standing})),
    usage: [...fold.usage].map(([region, {closedThrough, windows}]) => ({
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

/** The state that a snapshot stands for. */
export function restore(snapshot: Snapshot): FleetState {
  const {configuration, leases, usage} = snapshot;
  return {
    configuration: applySnapshot(emptyConfiguration(), configuration),
    leases: new Map(leases.map(({lease, ...standing}) => [lease, standing])),
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
