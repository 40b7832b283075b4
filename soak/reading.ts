/** What hosts have logged and reported, read at the end of a soak. */
import type {DutyCall} from '../standins/site.js';
import type {EdgeFleet, Line} from '../test/support/edgeprocess.js';
import {TEAM, type Ledger} from './ledger.js';

/** A request that waited longer before it was sent had been queued. */
const QUEUED_MILLISECONDS = 100;

/** Requests that hosts say they have queued. */
export function queuedOf({hosts}: EdgeFleet): number {
  const lines = hosts.flatMap(host => host.lines);
  const isQueued = ({event, fields}: Line) =>
    event === 'request-sent' && Number(fields['waited']) > QUEUED_MILLISECONDS;
  return lines.filter(isQueued).length;
}

/** Checks the reports of usage and their fences. */
export function readDuties(duties: readonly DutyCall[], ledger: Ledger): void {
  const runs = new Map<number, number>();
  for (const {path, fence, body} of duties) {
    ledger.fence(path, fence);
    if (path !== '/usage') continue;
    const window = Number(body['windowId']);
    ledger.report(window, JSON.stringify(body['counts']));
    const counts = body['counts'] as Record<string, number>;
    runs.set(window, counts[TEAM] ?? 0);
  }
  ledger.checkUsage([...runs.values()].reduce((a, b) => a + b, 0));
}
