/** Creates a host's roll-outs and connects them to the other hosts. */
import {incarnationOf, type RolloutHandlers} from '../gossip/index.js';
import {Rollouts} from '../rollout/index.js';
import type {HostContext} from './context.js';
import type {RolloutChange} from './platformview.js';

/** Returns the roll-outs of a host; `onChange` is called when shares change. */
export function createRollouts(
  context: HostContext,
  onChange: () => void,
): Rollouts {
  const {platform, settings, clock, random, logger, metrics} = context;
  const {address: from, gossip} = context;
  return new Rollouts({
    self: {name: from.name, incarnation: incarnationOf(from)},
    store: platform.store,
    format: platform.rolloutStatus,
    bounds: settings.rollouts,
    clock,
    random,
    logger,
    metrics,
    hosts: () =>
      (gossip()?.activeHosts ?? []).map(host => ({
        name: host.name,
        incarnation: incarnationOf(host),
      })),
    sendShare: (host, share) =>
      gossip()?.send(host, {kind: 'rollout-share', from, share}),
    sendReport: (host, report) =>
      gossip()?.send(host, {kind: 'rollout-report', from, report}),
    onChange,
  });
}

/** What gossip needs to pass messages on to the roll-outs. */
export function rolloutMessages(rollouts: Rollouts): RolloutHandlers {
  return {
    onRolloutShare: ({name}, share) => rollouts.handleShare(name, share),
    onRolloutReport: (host, report) =>
      rollouts.handleReport(incarnationOf(host), report),
  };
}

/** Hands an operator's order over, with its place in the store. */
export function handleRolloutOrder(
  {platform}: HostContext,
  rollouts: Rollouts,
  {service, order}: RolloutChange,
  offset: number,
): void {
  const {era} = platform.store.restores;
  rollouts.setOrder(service, order && {...order, offset, era});
}
