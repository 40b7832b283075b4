/** What a pulse tells another host: this host's state and, now and then, other hosts. */
import type {
  CachedPart,
  EndpointLoadReport,
  LimitStatement,
  ServiceDemand,
} from '../balance/index.js';
import type {BlocklistEntry} from '../quarantine/index.js';
import type {HostAddress, Pulse, TopicPosition} from './message.js';

/** One in so many pulses lists other hosts. */
const HOST_LIST_INTERVAL_PULSES = 5;
/** Most hosts that a pulse lists. */
const MAX_LISTED_HOSTS = 12;

/** What a host reports about itself. */
export interface OwnState {
  readonly leaving: boolean;
  readonly positions: readonly TopicPosition[];
  readonly uses: readonly EndpointLoadReport[];
  readonly work: readonly ServiceDemand[];
  readonly unreachable: readonly string[];
  readonly kept: readonly CachedPart[];
  readonly blocked: readonly BlocklistEntry[];
  readonly limits: readonly LimitStatement[];
  readonly certainUsage: Pulse['certainUsage'];
}

/** What a pulse says besides the state of its host. */
export interface PulseHead {
  readonly self: HostAddress;
  readonly sequence: number;
  /** Sequence number of the last pulse of the host that gets this one. */
  readonly heard: number;
  /** Milliseconds between two pulses. */
  readonly period: number;
  /** The time of day, in milliseconds. */
  readonly time: number;
  /** The other hosts that this one can reach. */
  readonly reachableHosts: () => readonly HostAddress[];
}

/** A pulse without usage sheets. */
export function createPulse(own: OwnState, head: PulseHead): Pulse {
  const {leaving, positions, uses, work, kept, unreachable, blocked} = own;
  const {limits, certainUsage} = own;
  const {self, sequence, heard, period, time, reachableHosts} = head;
  const listsHosts = sequence % HOST_LIST_INTERVAL_PULSES === 1;
  return {
    kind: 'pulse',
    from: self,
    sequence,
    heard,
    period,
    time,
    leaving,
    inflates: true,
    positions: [...positions],
    uses: [...uses],
    work: [...work],
    unreachable: [...unreachable],
    kept: [...kept],
    blocked: [...blocked],
    limits: [...limits],
    certainUsage,
    sheets: [],
    hosts: listsHosts ? hostSample(reachableHosts(), sequence) : [],
  };
}

/** Some of the hosts, others for each sequence number. */
function hostSample(
  hosts: readonly HostAddress[],
  sequence: number,
): HostAddress[] {
  if (hosts.length <= MAX_LISTED_HOSTS) return [...hosts];
  const start = (sequence * MAX_LISTED_HOSTS) % hosts.length;
  return [...hosts, ...hosts].slice(start, start + MAX_LISTED_HOSTS);
}
