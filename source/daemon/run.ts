/** The daemon's course: settings, a host, and its end on a signal. */
import {SystemClock} from '../clock/index.js';
import {descriptorShortages} from '../descriptors/index.js';
import {PortError, SettingsError} from '../errors/index.js';
import {BoundedSink, createLogger} from '../logging/index.js';
import {Metrics} from '../metrics/index.js';
import {HttpPlatform} from '../platform/index.js';
import {PORT_ERROR_EXIT_CODE} from '../ports/index.js';
import {
  EndReporter,
  endOnUncaughtError,
  LoadReporter,
  SETTINGS_EXIT_CODE,
} from '../process/index.js';
import {
  readSettings,
  settingsSchema,
  type Settings,
} from '../settings/index.js';
import {abandonOpenCalls} from '../wire/index.js';
import {Host} from './host.js';
import type {DaemonSignals} from './signals.js';

const STDERR_FILE_DESCRIPTOR = 2;
/** Longest time that the end of the process waits for the reader of its log. */
const MAX_FLUSH_MILLISECONDS = 500;
/**
 * Longest time that a host goes on with the requests that it holds after an
 * error that nothing caught.
 */
const MAX_DRAIN_AFTER_ERROR_MILLISECONDS = 10_000;

/**
 * Runs the daemon until a signal ends it. Settings that are wrong end the process
 * with code 2, a callers' address that the machine does not have with code 3.
 *
 * ```ts
 * await runDaemon(process.argv.slice(2), process.env, signals);
 * ```
 */
export async function runDaemon(
  flags: readonly string[],
  variables: Readonly<Record<string, string | undefined>>,
  signals: DaemonSignals,
): Promise<void> {
  const ends = new EndReporter({
    program: 'arbutusslipd',
    source: process,
    clock: new SystemClock(),
    logDescriptor: STDERR_FILE_DESCRIPTOR,
  });
  try {
    const settings = readSettings(flags, variables, settingsSchema);
    await startHost(settings, signals, ends);
  } catch (error) {
    if (!(error instanceof SettingsError)) return ends.failUncaught(error);
    const {flag: setting, message} = error;
    ends.fail(SETTINGS_EXIT_CODE, 'settings', message, {setting});
  }
}

async function startHost(
  settings: Settings,
  signals: DaemonSignals,
  ends: EndReporter,
): Promise<void> {
  const clock = new SystemClock();
  const sink = new BoundedSink(STDERR_FILE_DESCRIPTOR, clock);
  const logger = createLogger(
    settings.logLevel,
    settings.logForm,
    clock,
    (level, line) => sink.writeLine(level, line),
  );
  const metrics = await Metrics.withStatsd(settings.metrics);
  descriptorShortages.reportTo({clock, logger, metrics});
  const platform = new HttpPlatform(settings.platform);
  const host = new Host({settings, clock, logger, metrics, platform});
  const load = () => host.load;
  process.once('exit', abandonOpenCalls);
  const exit = (code: number) => {
    clock.after(MAX_FLUSH_MILLISECONDS, () => process.exit(code));
    void sink.flush().then(() => process.exit(code));
  };
  const drainAndExit = (code: number) => {
    const failed = (error: unknown) => {
      const detail = error instanceof Error ? (error.stack ?? '') : 'unknown';
      logger.error('drain-failed', {detail});
    };
    void host
      .drain()
      .catch(failed)
      .then(() => exit(code));
  };
  endOnUncaughtError({
    source: process,
    logger,
    load,
    end: code => {
      clock.after(MAX_DRAIN_AFTER_ERROR_MILLISECONDS, () => exit(code));
      drainAndExit(code);
    },
  });
  ends.leaveUncaughtErrors();
  signals.onStop(signal => {
    logger.info('stop', {signal});
    ends.note('signal', {signal});
    drainAndExit(0);
  });
  new LoadReporter({clock, logger, load}).start();
  try {
    await host.start();
  } catch (error) {
    if (!(error instanceof PortError)) throw error;
    ends.note('port', {setting: error.address, detail: error.message});
    exit(PORT_ERROR_EXIT_CODE);
  }
}
