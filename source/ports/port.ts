/**
 * One port that a process listens on. A port that is taken is tried again until
 * it is free. Errors of a server that listens are logged and counted: it goes on
 * to listen.
 */
import {Server} from 'node:net';

import {portChart} from '../charts/index.js';
import type {Cancel, Clock} from '../clock/index.js';
import {PortError} from '../errors/index.js';
import type {Logger} from '../logging/index.js';
import type {Metrics} from '../metrics/index.js';
import {partsOf} from '../wire/index.js';
import {canWaitFor, codeOf} from './decide.js';

/** The exit code of a process that a PortError has ended. */
export const PORT_ERROR_EXIT_CODE = 3;

const RETRY_INTERVAL_MILLISECONDS = 100;
/** Time between two log lines about the same trouble. */
const REPORT_INTERVAL_MILLISECONDS = 10_000;

/** What a port is made from. */
export interface PortOptions {
  /** What the port is for, as named in logs and metrics. */
  readonly role: string;
  /** IP number and port, such as `127.0.0.1:80`. */
  readonly address: string;
  /** Any server, also of HTTP or TLS, that does not listen yet. */
  readonly server: Server;
  /**
   * Whether the process cannot serve without the port. If it can, also a port
   * that waiting seems not to open is tried again.
   */
  readonly isRequired: boolean;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** How `open` ends; set while it is pending. */
interface Pending {
  readonly resolve: (isOpen: boolean) => void;
  readonly reject: (error: PortError) => void;
}

/**
 * A port and its server.
 *
 * ```ts
 * const port = new Port({role, address, server, isRequired, clock, logger, metrics});
 * if (await port.open()) serve();
 * ```
 */
export class Port {
  private state = portChart.initial;
  private pending: Pending | undefined;
  private tries = 0;
  private firstTryAt = 0;
  private reportedAt = -Infinity;
  private errorReportedAt = -Infinity;
  private errorsSinceReport = 0;
  private cancelRetry: Cancel = () => {};

  constructor(private readonly options: PortOptions) {
    const {server} = options;
    server.on('listening', () => this.handleListening());
    server.on('error', error => this.handleError(error));
  }

  /**
   * Opens the port, as soon as it is free. Resolves with whether it is open:
   * false if it was closed before. Rejects with a PortError if it is required and
   * waiting does not open it. Throws a StateChartError if called twice.
   */
  open(): Promise<boolean> {
    this.transition('open');
    this.firstTryAt = this.options.clock.monotonic();
    return new Promise((resolve, reject) => {
      this.pending = {resolve, reject};
      this.listen();
    });
  }

  get isOpen(): boolean {
    return this.state === 'open';
  }

  /** Whether the port is required and waiting does not open it. */
  get hasFailed(): boolean {
    return this.state === 'failed';
  }

  /**
   * Accepts no more connections and ends all tries. Connections that are open
   * stay so. Does nothing if the port is closed already.
   */
  close(): void {
    if (!portChart.allows(this.state, 'close')) return;
    this.transition('close');
    this.cancelRetry();
    // The method of an HTTP server would also close connections, some of which
    // may still be sending a response.
    Server.prototype.close.call(this.options.server);
    this.settle({isOpen: false});
  }

  /** Closes the port unless it is open. */
  stopTrying(): void {
    if (!this.isOpen) this.close();
  }

  private listen(): void {
    const {server, address} = this.options;
    this.tries++;
    try {
      server.listen(partsOf(address));
    } catch (error) {
      // Node throws where the number of the port is none.
      if (!(error instanceof Error)) throw error;
      this.handleError(error);
    }
  }

  private handleListening(): void {
    if (!portChart.allows(this.state, 'opened')) {
      // It was closed while it was being opened.
      Server.prototype.close.call(this.options.server);
      return;
    }
    this.transition('opened');
    const {role, address, logger, metrics} = this.options;
    const {tries} = this;
    metrics.count('port-opened', {role});
    logger.info('port-opened', {role, address, tries, after: this.elapsed});
    this.settle({isOpen: true});
  }

  private handleError(error: Error): void {
    if (this.state !== 'opening') return this.reportError(error);
    const {isRequired} = this.options;
    if (isRequired && !canWaitFor(codeOf(error))) return this.fail(error);
    this.transition('refused');
    this.reportRefusal(error);
    this.cancelRetry = this.options.clock.after(
      RETRY_INTERVAL_MILLISECONDS,
      () => {
        this.transition('retry');
        this.listen();
      },
    );
  }

  private fail(error: Error): void {
    this.transition('fail');
    const {role, address, logger, metrics} = this.options;
    const detail = error.message;
    const code = codeOf(error);
    metrics.count('port-unusable', {role, code});
    logger.error('port-unusable', {role, address, code, detail});
    this.settle({error: new PortError(role, address, code, detail)});
  }

  private reportRefusal(error: Error): void {
    const {role, address, logger, metrics, clock} = this.options;
    const code = codeOf(error);
    const event = code === 'EADDRINUSE' ? 'port-taken' : 'port-not-opened';
    metrics.count(event, {role, code});
    const now = clock.monotonic();
    if (now - this.reportedAt < REPORT_INTERVAL_MILLISECONDS) return;
    this.reportedAt = now;
    const {tries, elapsed: after} = this;
    logger.warn(event, {role, address, code, tries, after});
  }

  /** Reports an error of a server that listens, or has been closed. */
  private reportError(error: Error): void {
    const {role, address, logger, metrics, clock} = this.options;
    const code = codeOf(error);
    metrics.count('port-error', {role, code});
    this.errorsSinceReport++;
    const now = clock.monotonic();
    if (now - this.errorReportedAt < REPORT_INTERVAL_MILLISECONDS) return;
    const detail = error.message;
    const errors = this.errorsSinceReport;
    logger.warn('port-error', {role, address, code, detail, errors});
    this.errorReportedAt = now;
    this.errorsSinceReport = 0;
  }

  /** Whole milliseconds since the first try. */
  private get elapsed(): number {
    return Math.round(this.options.clock.monotonic() - this.firstTryAt);
  }

  private settle(result: {isOpen: boolean} | {error: PortError}): void {
    const {pending} = this;
    this.pending = undefined;
    if ('error' in result) pending?.reject(result.error);
    else pending?.resolve(result.isOpen);
  }

  private transition(event: string): void {
    this.state = portChart.next(this.state, event);
  }
}
