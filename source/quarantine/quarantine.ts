/**
 * What a host knows of prompt parts that crash endpoints. It logs each crash
 * with the requests that were cut by it.
 */
import type {Clock} from '../clock/index.js';
import type {Logger} from '../logging/index.js';
import {acceptsConnections} from '../wire/index.js';
import {
  CrashDetector,
  type CutRequest,
  type EndpointCrash,
} from './detector.js';

/** Requests that a line about a crash names at most. */
const MAX_LOGGED_REQUESTS = 8;

/** Dependencies of a quarantine. */
export interface QuarantineOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The quarantine of one host. */
export class Quarantine {
  private readonly detector: CrashDetector;

  constructor(private readonly options: QuarantineOptions) {
    const {clock} = options;
    this.detector = new CrashDetector({
      clock,
      accepts: (address, timeout) =>
        acceptsConnections(address, timeout, clock),
      onCrash: crash => this.handleCrash(crash),
    });
  }

  /**
   * Records a request that an endpoint has cut; the endpoint may have crashed.
   *
   * ```ts
   * quarantine.recordCut({endpoint, request, parts, sentAt, events: 0});
   * ```
   */
  recordCut(cut: CutRequest): void {
    this.detector.recordCut(cut);
  }

  private handleCrash(crash: EndpointCrash): void {
    const {endpoint, requests} = crash;
    this.options.logger.warn('endpoint-crashed', {
      endpoint,
      cut: requests.length,
      requests: requests
        .slice(0, MAX_LOGGED_REQUESTS)
        .map(
          ({request, events, parts}) =>
            `${request} events ${events} parts ${parts.join(' ')}`,
        )
        .join(', '),
    });
  }
}
