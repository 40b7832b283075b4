/**
 * Health checks of endpoints that could not be reached, so that callers'
 * requests need not find out whether they are back.
 */
import type {EndpointSelector} from '../balance/index.js';
import {Cancellation} from '../cancellation/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import type {KnownEndpoint} from '../directory/index.js';
import {WireError} from '../errors/index.js';
import type {ConnectionPool, Protocol, ResponseHead} from '../forward/index.js';
import type {Logger} from '../logging/index.js';
import {discardBody} from '../wire/index.js';
import type {StartReports} from './startreports.js';

const PROBE_INTERVAL_MILLISECONDS = 500;
const PROBE_TIMEOUT_MILLISECONDS = 400;
const HEALTHY_STATUS = 200;

/** Dependencies of a prober. */
export interface ProberOptions {
  readonly selector: EndpointSelector;
  readonly connections: ConnectionPool;
  readonly protocol: Protocol;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly reports: Pick<StartReports, 'stateOf'>;
}

/**
 * Probes the endpoints that this host cannot reach, and marks those that pass
 * their health check as reachable.
 */
export class Prober {
  private readonly inProgress = new Set<string>();
  private stopTimer: Cancel = () => {};

  constructor(private readonly options: ProberOptions) {}

  start(): void {
    const {clock, selector: book} = this.options;
    this.stopTimer = clock.every(PROBE_INTERVAL_MILLISECONDS, () => {
      for (const endpoint of book.unreachableEndpoints())
        void this.probe(endpoint);
    });
  }

  stop(): void {
    this.stopTimer();
  }

  private async probe(endpoint: KnownEndpoint): Promise<void> {
    const {id} = endpoint.entry;
    if (this.inProgress.has(id)) return;
    if (!this.options.selector.reserveProbe(endpoint)) return;
    this.inProgress.add(id);
    try {
      if (!(await this.isHealthy(endpoint))) return;
      // Its entry says nothing of another incarnation, its version least of all.
      if (await this.isReplaced(endpoint)) return;
      this.options.selector.markReachable(id);
      this.options.logger.info('endpoint-reached', {id});
    } finally {
      this.inProgress.delete(id);
    }
  }

  private async isHealthy(endpoint: KnownEndpoint): Promise<boolean> {
    const {selector: book, connections, protocol, clock} = this.options;
    const {id, address} = endpoint.entry;
    const url = book.serviceOf(endpoint)?.healthPath;
    if (url === undefined) return false;
    const timeout = new Cancellation();
    const cancelTimer = clock.after(PROBE_TIMEOUT_MILLISECONDS, () =>
      timeout.abort(),
    );
    const headers = ['Host', address];
    const body = Buffer.alloc(0);
    const request = {
      address,
      method: 'GET',
      url,
      headers,
      body,
      fresh: true,
      isProbe: true,
    };
    const isOpen = () => true;
    try {
      const response = await connections.send({...request, isOpen}, timeout);
      const {message} = response;
      timeout.onAbort(() => message.destroy());
      const isComplete = (await discardBody(response, clock)) === 'complete';
      const head = protocol.parseResponseHead(message);
      const isOther = (head.endpoint ?? id) !== id;
      const backoff = head.backoff?.milliseconds;
      if (head.leaving && !isOther) book.markLeaving(endpoint);
      if (backoff !== undefined && !isOther)
        book.markBackoff(endpoint, backoff);
      if (!isOther) this.recordLoad(id, head);
      const isHealthy = head.status === HEALTHY_STATUS && isComplete;
      return isHealthy && !isOther && !head.leaving;
    } catch (error) {
      // Not logged: the endpoint was logged when it became unreachable.
      if (error instanceof WireError) return false;
      throw error;
    } finally {
      cancelTimer();
    }
  }

  private async isReplaced({entry}: KnownEndpoint): Promise<boolean> {
    if (entry.born === undefined) return false;
    return (await this.options.reports.stateOf(entry)) === 'replaced';
  }

  /** Records what an endpoint states of its load. */
  private recordLoad(id: string, {load, invalidLoad}: ResponseHead): void {
    const {selector, clock} = this.options;
    selector.rates.recordLoad(id, load, clock.monotonic());
    if (invalidLoad !== undefined)
      selector.rates.recordMalformed(id, invalidLoad);
  }
}
