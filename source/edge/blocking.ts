/**
 * Creates what a host needs to block requests that crash endpoints: the
 * quarantine, which decides, and the records by which it outlives the hosts.
 */
import type {EndpointSelector} from '../balance/index.js';
import {BlockedRecords, Quarantine, type Suspect} from '../quarantine/index.js';
import type {HostContext} from './context.js';
import {hasEnded, type StartReports} from './startreports.js';

/** The quarantine and the records of what it has blocked. */
export interface Blocking {
  readonly quarantine: Quarantine;
  readonly blockedRecords: BlockedRecords;
}

/** The component and the action of the host that blocking uses. */
export interface BlockingParts {
  readonly selector: EndpointSelector;
  /** Ends the requests of this host that a block concerns. */
  readonly endRequestsWith: (suspect: Suspect) => void;
  readonly reports: Pick<StartReports, 'stateOf'>;
}

/** Creates the quarantine and its records, which are not started. */
export function createBlocking(
  context: HostContext,
  {selector, endRequestsWith, reports}: BlockingParts,
): Blocking {
  const {settings, platform, clock, logger, metrics, random} = context;
  const from = context.address;
  const hosts = () => context.gossip()?.sharing.hosts ?? [settings.name];
  const quarantine = new Quarantine({
    host: settings.name,
    hosts,
    clock,
    logger,
    metrics,
    random,
    sendCrash: report =>
      context.gossip()?.broadcast({kind: 'crash', from, report}),
    sendBegun: begun =>
      context.gossip()?.broadcast({kind: 'begun', from, parts: [...begun]}),
    onChange: suspect => blockedRecords.noteChange(suspect),
    onBlocked: endRequestsWith,
    onEndpointCrashed: incarnation => selector.markCrashed(incarnation),
    hasEnded: async ({entry}) => hasEnded(await reports.stateOf(entry)),
  });
  const blockedRecords = new BlockedRecords({
    store: platform.store,
    host: settings.name,
    hosts,
    clock,
    logger,
    entries: () => quarantine.entries,
    onLoaded: entries => quarantine.handleEntries(entries),
  });
  return {quarantine, blockedRecords};
}
