/**
 * Asks an endpoint when it was started, since one that starts again under its id
 * is another incarnation, of which its entry says nothing until it writes a new one.
 */
import type {EndpointEntry} from '../directory/index.js';
import {WireError} from '../errors/index.js';
import type {Protocol} from '../forward/index.js';
import type {Logger} from '../logging/index.js';
import {exchangeBytes, PacedAgent} from '../wire/index.js';

const REPORT_TIMEOUT_MILLISECONDS = 400;
const REPORTED_STATUS = 200;
/** Largest report: some hundred bytes, and a line for each request that runs. */
const MAX_REPORT_BYTES = 65_536;

/**
 * What a report says of an incarnation: it runs, another one does, nothing accepts
 * connections, or nothing is known, as endpoints need not report.
 */
export type IncarnationState = 'runs' | 'replaced' | 'refuses' | 'unknown';

/** Whether an incarnation has ended, as far as is known. */
export function hasEnded(state: IncarnationState): boolean {
  return state === 'refuses' || state === 'replaced';
}

/** Dependencies of the reports. */
export interface StartReportsOptions {
  readonly protocol: Protocol;
  readonly logger: Logger;
}

/** Reads the reports of endpoints. */
export class StartReports {
  private readonly agent = new PacedAgent({keepAlive: false}, 'probes');

  constructor(private readonly options: StartReportsOptions) {}

  /**
   * Resolves with what has become of the incarnation that an entry names.
   *
   * ```ts
   * const state = await reports.stateOf(known.entry);
   * ```
   */
  async stateOf({id, address, born}: EndpointEntry): Promise<IncarnationState> {
    const {protocol, logger} = this.options;
    try {
      const {status, body} = await exchangeBytes({
        address,
        method: 'GET',
        path: protocol.reportPath,
        bound: REPORT_TIMEOUT_MILLISECONDS,
        maxReplyBytes: MAX_REPORT_BYTES,
        agent: this.agent,
        headers: {},
      });
      if (status !== REPORTED_STATUS || born === undefined) return 'unknown';
      const reported = protocol.parseReportedStart(body);
      if (reported === undefined) return 'unknown';
      if (reported === born) return 'runs';
      logger.info('endpoint-restarted', {id, reported});
      return 'replaced';
    } catch (error) {
      if (!(error instanceof WireError)) throw error;
      return error.stage === 'connect' ? 'refuses' : 'unknown';
    }
  }
}
