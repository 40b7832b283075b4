/**
 * Connects the components of a host to the gossip, and the gossip to the hosts
 * that the store names.
 */
import type {EndpointSelector} from '../balance/index.js';
import type {DescriptorBudget} from '../descriptors/index.js';
import {
  Feeder,
  GossipNode,
  incarnationOf,
  type HostAddress,
} from '../gossip/index.js';
import {HostRegistry} from '../hostregistry/index.js';
import type {UsageMeter} from '../leader/index.js';
import type {Quarantine} from '../quarantine/index.js';
import type {Rollouts} from '../rollout/index.js';
import type {StreamVersions} from '../versions/index.js';
import type {HostContext} from './context.js';
import type {PlatformView} from './platformview.js';
import type {PulseExchange} from './pulses.js';
import {rolloutMessages} from './rollingout.js';

/** The components that gossip reports on and is applied to. */
export interface GossipParts {
  readonly selector: EndpointSelector;
  readonly platformView: PlatformView;
  readonly quarantine: Quarantine;
  readonly versions: StreamVersions;
  readonly rollouts: Rollouts;
  readonly pulses: PulseExchange;
  readonly usage: UsageMeter | undefined;
  readonly descriptors: DescriptorBudget | undefined;
  readonly feeder: () => Feeder | undefined;
  readonly registry: () => HostRegistry | undefined;
}

/** Creates the gossip, which is not started; none for a host without others. */
export function createGossip(
  context: HostContext,
  parts: GossipParts,
): GossipNode | undefined {
  const {settings, clock, logger, metrics} = context;
  if (settings.hosts === undefined) return undefined;
  const {selector, platformView, quarantine, versions, rollouts} = parts;
  const {pulses, usage, descriptors, feeder, registry} = parts;
  const gossip = new GossipNode({
    self: context.address,
    seeds: settings.seeds,
    clock,
    logger,
    metrics,
    descriptors,
    state: period => pulses.state(period),
    sheets: () => usage?.unstoredSheets() ?? [],
    records: (topic, position) => platformView.recordsFrom(topic, position),
    onRecords: (topic, page) => platformView.applyRecords(topic, page),
    onFeedReport: feed => feeder()?.handleReport(feed),
    onPulse: pulse => pulses.receive(pulse),
    onCrashReport: report => quarantine.handleCrashReport(report),
    onBegunSuspects: begun => quarantine.handleBegun(begun),
    onLimits: limits => selector.setLimitReports(limits),
    onBegunStreams: ({name}, items, number) => {
      if (number === undefined) return versions.appendFor(items);
      versions.relay.handleDelivery(name, {number, items});
    },
    onBegunStreamsStored: number => versions.relay.handleConfirmation(number),
    onSheets: ({name}, delivery) => usage?.relay.handleDelivery(name, delivery),
    ...rolloutMessages(rollouts),
    onSheetsStored: number => usage?.relay.handleConfirmation(number),
    onHostFound: found => informNewHost(context, quarantine, found),
    onHostLost: lost => {
      void usage?.appendReplicaOf(incarnationOf(lost));
      registry()?.noteLost(lost);
    },
    onSharingChanged: sharing => selector.setSharing(sharing),
    storeAnsweredAt: () => feeder()?.storeAnsweredAt ?? -Infinity,
  });
  selector.setSharing(gossip.sharing);
  return gossip;
}

/** Creates the feeder, which is not started. */
export function createFeeder(
  {address: self, clock}: HostContext,
  gossip: GossipNode,
  platformView: PlatformView,
): Feeder {
  return new Feeder({
    self,
    clock,
    hosts: () => gossip.stayingHosts,
    send: (name, message) => gossip.send(name, message),
    positions: () => platformView.positions,
    records: (topic, position) => platformView.recordsFrom(topic, position),
    digests: () => platformView.digests,
    onDigests: (digests, host) => platformView.compareDigests(digests, host),
    answeredAt: () => platformView.storeAnsweredAt,
    storeLostAt: () => platformView.storeLostAt,
    onStoreLost: at => platformView.recordStoreLoss(at),
  });
}

/** Creates the registry, which is not started. */
export function createRegistry(
  {address: self, platform, clock, logger, metrics, random}: HostContext,
  gossip: GossipNode,
): HostRegistry {
  return new HostRegistry({
    self,
    store: platform.store,
    clock,
    logger,
    metrics,
    random,
    reachable: () => gossip.reachableMembers.map(({host}) => host),
    onRead: hosts => gossip.contactListed(hosts),
  });
}

/** Tells a host that has turned up of the crashes that it has missed. */
function informNewHost(
  {address: from, gossip}: HostContext,
  quarantine: Quarantine,
  {name}: HostAddress,
): void {
  for (const report of quarantine.reportsForNewHost(name))
    gossip()?.send(name, {kind: 'crash', from, report});
}
