/**
 * Asks an endpoint when it was started, since one that starts again under its id
 * is another incarnation, of which its entry says nothing until it writes a new one.
 */
import type {Clock} from '../clock/index.js';
import {
  endpointIncarnation,
  type Directory,
  type EndpointEntry,
} from '../directory/index.js';
import {
  ConnectTimeout,
  DescriptorShortage,
  WireError,
} from '../errors/index.js';
import type {Protocol} from '../forward/index.js';
import type {Logger} from '../logging/index.js';
import {exchangeBytes, PacedAgent} from '../wire/index.js';

const REPORT_TIMEOUT_MILLISECONDS = 400;
const REPORTED_STATUS = 200;
/** Largest report: some hundred bytes, and a line for each request that runs. */
const MAX_REPORT_BYTES = 65_536;

/** Milliseconds after which one that broke off its report is asked again. */
const SECOND_LOOK_DELAY_MILLISECONDS = 100;

/**
 * What a report says of an incarnation: it runs, another one does, its port is
 * closed, it accepts no connection in time, it broke off the report, or nothing is
 * known, as endpoints need not report.
 */
export type IncarnationState =
  'runs' | 'replaced' | 'refuses' | 'unreachable' | 'broken-off' | 'unknown';

/** Whether an incarnation has ended, as far as is known. */
export function hasEnded(state: IncarnationState): boolean {
  return hasEndedForSure(state) || state === 'unreachable';
}

/** Whether an incarnation has ended, and is not only busy or cut off. */
function hasEndedForSure(state: IncarnationState): boolean {
  return state === 'refuses' || state === 'replaced';
}

/** Dependencies of the reports. */
export interface StartReportsOptions {
  readonly protocol: Protocol;
  readonly clock: Clock;
  readonly directory: () => Directory;
  readonly logger: Logger;
}

/** Reads the reports of endpoints. */
export class StartReports {
  private readonly agent = new PacedAgent({keepAlive: false}, 'probes');
  /** Looks whether an incarnation has ended, by incarnation. */
  private readonly looks = new Map<string, Promise<boolean>>();

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
      if (error instanceof DescriptorShortage) return 'unknown';
      if (error instanceof ConnectTimeout) return 'unreachable';
      return error.stage === 'connect' ? 'refuses' : 'broken-off';
    }
  }

  /**
   * Resolves with whether an endpoint has just ended that had not said it would
   * leave: the entry of one that crashes stays for some heartbeats. Its connections
   * may be closed before its port is, so one that breaks its report off is asked
   * twice. Calls at the same time share one look.
   *
   * ```ts
   * if (await reports.hasCrashed(known.entry)) throw failure;
   * ```
   */
  async hasCrashed({id}: EndpointEntry): Promise<boolean> {
    const known = this.options.directory().get(id);
    if (!known || known.entry.leaving) return false;
    const {entry} = known;
    const incarnation = endpointIncarnation(entry);
    const inProgress = this.looks.get(incarnation);
    if (inProgress) return inProgress;
    const look = this.look(entry).finally(() => this.looks.delete(incarnation));
    this.looks.set(incarnation, look);
    return look;
  }

  private async look(entry: EndpointEntry): Promise<boolean> {
    const {clock} = this.options;
    const state = await this.stateOf(entry);
    if (state !== 'broken-off') return hasEndedForSure(state);
    await new Promise<void>(resolve => {
      clock.after(SECOND_LOOK_DELAY_MILLISECONDS, resolve);
    });
    return hasEndedForSure(await this.stateOf(entry));
  }
}
