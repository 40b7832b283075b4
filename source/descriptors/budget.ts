/**
 * How many file descriptors a host may use, and for what. The parts are fixed, so
 * that callers cannot take the descriptors that the host needs to stay operational.
 */

/** Of files and of the runtime itself: the reserve of the platform's settings. */
const MAX_PROCESS_DESCRIPTORS = 200;
const PROCESS_SHARE = 1 / 8;
/** Connections of readiness probes and operators. */
const OPERATOR_DESCRIPTORS = 32;
/**
 * Two for each other host, one in each direction: a host of 2,212 descriptors can
 * have links to 110 others.
 */
const LINK_SHARE = 1 / 10;
const MIN_LINK_DESCRIPTORS = 24;
/** Long reads of the store's topics, appends, and calls of a leader. */
const STORE_DESCRIPTORS = 16;
/** Health checks of endpoints that cannot be reached, all at the same time. */
const PROBE_SHARE = 1 / 50;
const MIN_PROBE_DESCRIPTORS = 8;
/** Share of all descriptors that the parts above take of a small limit. */
const MAX_RESERVED_SHARE = 3 / 4;
/**
 * Of what is left, the part of callers. Each request in progress holds a
 * connection of a caller and one to an endpoint, and callers keep idle ones.
 */
const CALLER_SHARE = 0.55;
/** Share of the callers' part for connections that are refused, and its minimum. */
const REFUSAL_SHARE = 1 / 8;
const MIN_REFUSAL_DESCRIPTORS = 2;
/** Share of the callers' part that one address may hold. */
const ADDRESS_SHARE = 3 / 4;

/** What a descriptor is used for. */
export type DescriptorUse =
  'callers' | 'endpoints' | 'hosts' | 'store' | 'probes' | 'operators';

/** What a host may have open, in file descriptors. */
export interface DescriptorBudget {
  /** All that the process may have open. */
  readonly limit: number;
  /** Files and the runtime itself. */
  readonly process: number;
  readonly operators: number;
  /** Links to other hosts. */
  readonly hosts: number;
  readonly store: number;
  readonly probes: number;
  /** Connections of callers whose requests are served. */
  readonly callers: number;
  /** Further connections of callers, which are only told that they are refused. */
  readonly refusals: number;
  /** Of the callers' part, what one address may hold. */
  readonly callersOfAddress: number;
  readonly endpoints: number;
}

/**
 * Returns the budget of a process that may have so many descriptors open.
 *
 * ```ts
 * const {callers, endpoints} = descriptorBudgetOf(2_212);
 * ```
 */
export function descriptorBudgetOf(limit: number): DescriptorBudget {
  const wanted = {
    process: Math.min(MAX_PROCESS_DESCRIPTORS, limit * PROCESS_SHARE),
    operators: OPERATOR_DESCRIPTORS,
    hosts: Math.max(MIN_LINK_DESCRIPTORS, limit * LINK_SHARE),
    store: STORE_DESCRIPTORS,
    probes: Math.max(MIN_PROBE_DESCRIPTORS, limit * PROBE_SHARE),
  };
  const sum = Object.values(wanted).reduce((total, part) => total + part, 0);
  const scale = Math.min(1, (limit * MAX_RESERVED_SHARE) / sum);
  const part = (descriptors: number) =>
    Math.max(1, Math.floor(descriptors * scale));
  const reserved = {
    process: part(wanted.process),
    operators: part(wanted.operators),
    hosts: part(wanted.hosts),
    store: part(wanted.store),
    probes: part(wanted.probes),
  };
  const left = Math.max(2, Math.floor(limit - Math.min(1, scale) * sum));
  const ofCallers = Math.max(1, Math.floor(left * CALLER_SHARE));
  const refusals = Math.min(
    Math.max(MIN_REFUSAL_DESCRIPTORS, Math.floor(ofCallers * REFUSAL_SHARE)),
    ofCallers - 1,
  );
  const callers = ofCallers - refusals;
  return {
    limit,
    ...reserved,
    callers,
    refusals,
    callersOfAddress: Math.max(1, Math.floor(callers * ADDRESS_SHARE)),
    endpoints: Math.max(1, left - ofCallers),
  };
}

/**
 * The limit that holds: that of the settings, else that of the process. Platforms
 * that count sockets apart from files state a limit of the process that is far
 * below what a host may open, so it does not bound a stated one.
 *
 * ```ts
 * const limit = applicableLimit(settings.maxDescriptors, processDescriptorLimit());
 * ```
 */
export function applicableLimit(
  stated: number | undefined,
  ofProcess: number | undefined,
): number | undefined {
  return stated ?? ofProcess;
}
