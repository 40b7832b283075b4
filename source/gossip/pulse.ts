/** What a pulse tells another host: this host's state and, now and then, other hosts. */
import type {
  CachedPart,
  EndpointLoadReport,
  LimitStatement,
  ServiceDemand,
} from '../balance/index.js';
import type {BlocklistEntry} from '../quarantine/index.js';
import type {RateReport} from '../servicerates/index.js';
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
  /** Rates of endpoints that this host has learned; absent for none. */
  readonly rates?: readonly RateReport[];
}

/** Bytes of a pulse that reports nothing, and of each item, at the least. */
const MIN_PULSE_BYTES = 200;
const MIN_ITEM_BYTES = 30;
/** Part of a pulse that rates may add to it on average. */
const MAX_RATES_FRACTION = 0.08;

/**
 * Bytes that the rates of endpoints may add to a pulse on average, so that
 * pulses grow by less than a tenth.
 */
export function rateReportBytes({
  positions,
  uses,
  work,
  kept,
}: Omit<OwnState, 'rates'>): number {
  const items = positions.length + uses.length + work.length + kept.length;
  const bytes = MIN_PULSE_BYTES + items * MIN_ITEM_BYTES;
  return bytes * MAX_RATES_FRACTION;
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
  /** Monotonic milliseconds since the start. */
  readonly uptime: number;
  /** Whether this host has been told of the others. */
  readonly isConfirmed: boolean;
  /** The other hosts that this one can reach. */
  readonly reachableHosts: () => readonly HostAddress[];
}

/** A pulse without usage sheets. */
export function createPulse(own: OwnState, head: PulseHead): Pulse {
  const {leaving, positions, uses, work, kept, unreachable, blocked} = own;
  const {limits, certainUsage, rates = []} = own;
  const {self, sequence, heard, period, time, uptime, isConfirmed} = head;
  const listsHosts = sequence % HOST_LIST_INTERVAL_PULSES === 1;
  return {
    kind: 'pulse',
    from: self,
    sequence,
    heard,
    period,
    time,
    uptime,
    leaving,
    ...(!isConfirmed && {confirmed: false}),
    inflates: true,
    positions: [...positions],
    uses: [...uses],
    work: [...work],
    unreachable: [...unreachable],
    kept: [...kept],
    blocked: [...blocked],
    limits: [...limits],
    certainUsage,
    // A field without a value would take as many bytes as a short report.
    ...(rates.length > 0 && {rates: [...rates]}),
    sheets: [],
    hosts: listsHosts ? hostSample(head.reachableHosts(), sequence) : [],
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
