/**
 * Asks endpoints that could not be reached how they are, so that no caller has
 * to try them out.
 */
import type {EndpointSelector} from '../balance/index.js';
import {Cancellation} from '../cancellation/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import type {KnownEndpoint} from '../directory/index.js';
import {WireError} from '../errors/index.js';
import type {ConnectionPool, Protocol} from '../forward/index.js';
import type {Logger} from '../logging/index.js';

const PERIOD_MILLISECONDS = 500;
const ANSWER_MILLISECONDS = 400;
const SOUND_STATUS = 200;

/** What a prober is made from. */
export interface ProberOptions {
  readonly book: EndpointSelector;
  readonly connections: ConnectionPool;
  readonly protocol: Protocol;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Looks after the endpoints that this host cannot reach. */
export class Prober {
  private readonly asking = new Set<string>();
  private stopTimer: Cancel = () => {};

  constructor(private readonly options: ProberOptions) {}

  start(): void {
    const {clock, book} = this.options;
    this.stopTimer = clock.every(PERIOD_MILLISECONDS, () => {
      for (const endpoint of book.unreachableEndpoints())
        void this.ask(endpoint);
    });
  }

  stop(): void {
    this.stopTimer();
  }

  private async ask(endpoint: KnownEndpoint): Promise<void> {
    const {id} = endpoint.entry;
    if (this.asking.has(id)) return;
    this.asking.add(id);
    try {
      if (!(await this.isSound(endpoint))) return;
      this.options.book.markReachable(id);
      this.options.logger.info('endpoint-reached', {id});
    } finally {
      this.asking.delete(id);
    }
  }

  private async isSound(endpoint: KnownEndpoint): Promise<boolean> {
    const {book, connections, protocol, clock} = this.options;
    const {id, address} = endpoint.entry;
    const url = book.serviceOf(endpoint)?.healthPath;
    if (url === undefined) return false;
    const halt = new Cancellation();
    const cancel = clock.after(ANSWER_MILLISECONDS, () => halt.abort());
    const headers = ['Host', address];
    const body = Buffer.alloc(0);
    const request = {address, method: 'GET', url, headers, body, fresh: true};
    const isOpen = () => true;
    try {
      const {message} = await connections.send({...request, isOpen}, halt);
      message.resume();
      const {status, endpoint: answering} = protocol.parseResponseHead(message);
      return status === SOUND_STATUS && (answering ?? id) === id;
    } catch (error) {
      // It is not sound, and has been in the log since it was given up.
      if (error instanceof WireError) return false;
      throw error;
    } finally {
      cancel();
    }
  }
}
