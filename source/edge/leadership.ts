/** Creates what a host needs to meter usage and to do the leader's tasks. */
import type {EndpointSelector} from '../balance/index.js';
import {incarnationOf} from '../gossip/index.js';
import {
  Autoscaler,
  LeaderElector,
  UsageMeter,
  isLeaderCandidate,
  type FencedPlatformClient,
} from '../leader/index.js';
import type {Rollouts} from '../rollout/index.js';
import type {HostContext} from './context.js';
import type {PlatformView} from './platformview.js';
import type {ZoneRecorder} from './zonerecorder.js';

/** The components that the leader's tasks need. */
export interface Leadership {
  readonly usage: UsageMeter;
  readonly autoscaler: Autoscaler;
  readonly leaderElector: LeaderElector;
}

/** The components of the host that usage and the leader's tasks use. */
export interface LeadershipParts {
  readonly recorder: ZoneRecorder;
  readonly selector: EndpointSelector;
  readonly platformView: PlatformView;
  readonly rollouts: Rollouts;
}

/** Returns undefined if the platform has no interface for leader tasks. */
export function createLeadership(
  context: HostContext,
  parts: LeadershipParts,
): Leadership | undefined {
  const client = context.platform.leaderClient;
  if (!client) return undefined;
  const usage = createUsage(context, parts, client);
  const autoscaler = createAutoscaler(context, parts, client);
  const leaderElector = createLeaderElector(context, parts, usage, autoscaler);
  return {usage, autoscaler, leaderElector};
}

function createUsage(
  context: HostContext,
  {recorder}: LeadershipParts,
  client: FencedPlatformClient,
): UsageMeter {
  const {settings, platform, clock, logger, metrics, random} = context;
  return new UsageMeter({
    incarnation: incarnationOf(context.address),
    hosts: () => context.gossip()?.activeHosts ?? [],
    relay: {
      recorder: () => recorder.name,
      deliver: (name, delivery) => recorder.sendSheets(name, delivery),
      confirm: (name, number) => recorder.confirmSheets(name, number),
      onMissed: name => recorder.noteMissed(name),
    },
    window: settings.usage.windowMilliseconds,
    reportDeadline: settings.usage.lateMilliseconds,
    store: platform.store,
    client,
    clock,
    random,
    logger,
    metrics,
  });
}

function createAutoscaler(
  {clock, logger}: HostContext,
  {platformView, selector, rollouts}: LeadershipParts,
  client: FencedPlatformClient,
): Autoscaler {
  return new Autoscaler({
    client,
    clock,
    logger,
    view: () => ({
      services: platformView.routingTable?.services ?? new Map(),
      directory: platformView.directory,
      zonesOut: platformView.zonesOut,
      busy: service => selector.busyEngineCount(service),
      hosts: selector.hostCount,
      isRollingOut: service => rollouts.isRunning(service),
    }),
  });
}

function createLeaderElector(
  context: HostContext,
  {platformView, rollouts}: LeadershipParts,
  usage: UsageMeter,
  autoscaler: Autoscaler,
): LeaderElector {
  const {settings, platform, clock, logger, metrics} = context;
  return new LeaderElector({
    name: settings.name,
    member: incarnationOf(context.address),
    isCandidate: () =>
      isLeaderCandidate(
        settings.name,
        context.gossip()?.sharing.hosts ?? [settings.name],
      ),
    lease: settings.leaseMilliseconds,
    store: platform.store,
    clock,
    logger,
    metrics,
    tasks: [
      leader => rollouts.lead(leader),
      leader => usage.freezeAndReport(leader),
      leader => autoscaler.reconcile(leader),
    ],
    heard: answered => platformView.recordStoreCall(answered),
  });
}
