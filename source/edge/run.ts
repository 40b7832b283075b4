/**
 * Runs a host process: creates the clock, logging and metrics, starts the host,
 * and reacts to the signals to reload and to stop.
 */
import {SystemClock} from '../clock/index.js';
import {
  processDescriptorLimit,
  applicableLimit,
  usedFields,
} from '../descriptors/index.js';
import {PortError, SettingsError} from '../errors/index.js';
import {BoundedSink, createLogger, type Logger} from '../logging/index.js';
import {Metrics} from '../metrics/index.js';
import {PORT_ERROR_EXIT_CODE} from '../ports/index.js';
import {
  endOnUncaughtError,
  LoadReporter,
  type EndReporter,
} from '../process/index.js';
import {seededRandom} from '../random/index.js';
import type {TakenDefault} from '../settings/index.js';
import {CountedStore} from '../store/index.js';
import {abandonOpenCalls} from '../wire/index.js';
import {EdgeHost} from './host.js';
import type {PlatformParts} from './platform.js';
import type {ReloadPlan} from './reload.js';
import type {EdgeSettings} from './settings.js';
import type {ProcessSignals} from './signals.js';

const STDOUT_FILE_DESCRIPTOR = 1;
/** Longest time that the end of the process waits for the reader of its log. */
const MAX_FLUSH_MILLISECONDS = 500;

/** What differs between host processes. */
export interface EdgeOptions {
  readonly settings: EdgeSettings;
  /** Reads the settings again, for a reload. Throws a SettingsError. */
  readonly readSettings: () => EdgeSettings;
  readonly platform: PlatformParts;
  readonly logLevel: 'debug' | 'info' | 'warn';
  /** Address of a StatsD server; without it no metrics are sent. */
  readonly statsd?: string;
  readonly signals: ProcessSignals;
  /** Tells why the process ends. */
  readonly ends: EndReporter;
  /** The defaults that the settings rest on. */
  readonly defaults: readonly TakenDefault[];
}

/**
 * Starts a host. Resolves once its ports are open, for which it waits if they are
 * taken. The host runs until SIGTERM or SIGINT, also in the middle of its start,
 * on which it drains and the process exits, with code 0. An error that nothing
 * caught does the same with code 1: the requests in progress still get their
 * answers, but the host says at once that it is not ready, since its state may be
 * inconsistent. A port that it needs and that waiting does not open ends the
 * process with code 3. A reload with invalid settings is logged and leaves the
 * settings as they were.
 */
export async function runEdge(options: EdgeOptions): Promise<void> {
  const {logLevel, statsd, ends} = options;
  const settings = withApplicableLimit(options.settings);
  const {maxDescriptors} = settings;
  const clock = new SystemClock();
  const sink = new BoundedSink(STDOUT_FILE_DESCRIPTOR, clock);
  const logger = createLogger(logLevel, 'json', clock, (level, line) =>
    sink.writeLine(level, line),
  );
  const metrics = await Metrics.withStatsd(statsd);
  const random = seededRandom(process.pid ^ Date.now());
  const store = new CountedStore(options.platform.store, metrics);
  const platform = {...options.platform, store};
  const parts = {settings, platform, clock, logger, metrics, random};
  const host = new EdgeHost(parts);
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
  const load = () => host.load;
  endOnUncaughtError({source: process, logger, load, end: drainAndExit});
  ends.leaveUncaughtErrors();
  logger.info('start', {host: settings.name, zone: settings.zone});
  logDefaults(logger, options.defaults);
  const stop = (signal: string) => {
    logger.info('stop', {signal});
    ends.note('signal', {signal});
    drainAndExit(0);
  };
  const reload = () => {
    try {
      const read = withApplicableLimit(options.readSettings());
      logReload(logger, host.reload(read));
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error;
      logger.error('reload', {outcome: 'refused', detail: error.message});
    }
  };
  options.signals.onReload(reload);
  options.signals.onStop(stop);
  const {memoryMegabytes: memoryLimitMegabytes} = settings;
  const descriptors = () => {
    const limit = maxDescriptors;
    return {...usedFields(), ...(limit && {descriptorLimit: limit})};
  };
  new LoadReporter({
    clock,
    logger,
    load,
    memoryLimitMegabytes,
    descriptors,
  }).start();
  try {
    await host.start();
  } catch (error) {
    if (!(error instanceof PortError)) throw error;
    const {role, address, code, message: detail} = error;
    ends.note('port', {role, address, code, detail});
    if (host.isStarting) exit(PORT_ERROR_EXIT_CODE);
    else drainAndExit(PORT_ERROR_EXIT_CODE);
  }
}

/** The settings with the limit on descriptors that this process has. */
function withApplicableLimit(settings: EdgeSettings): EdgeSettings {
  const limit = processDescriptorLimit();
  const maxDescriptors = applicableLimit(settings.maxDescriptors, limit);
  return {...settings, maxDescriptors};
}

/** Logs which settings a reload has changed, and which need a restart. */
function logReload(logger: Logger, {applied, deferred}: ReloadPlan): void {
  logger.info('reload', {outcome: 'taken', applied: applied.join(',')});
  if (deferred.length > 0)
    logger.warn('reload-needs-restart', {settings: deferred.join(',')});
}

/** Logs the defaults that the settings rest on, if there are any. */
function logDefaults(logger: Logger, defaults: readonly TakenDefault[]): void {
  if (defaults.length === 0) return;
  const names = defaults.map(({name}) => name).join(',');
  const detail = defaults
    .map(({name, detail: why}) => `${name}: ${why}`)
    .join('; ');
  logger.warn('settings-defaults', {names, detail});
}
