/** The daemon's course: settings, a host, and its end on a signal. */
import {SystemClock} from '../clock/index.js';
import {ArbutusslipError} from '../errors/index.js';
import {createLogger} from '../logging/index.js';
import {Metrics} from '../metrics/index.js';
import {HttpPlatform} from '../platform/index.js';
import {endOnUncaughtError, LoadReporter} from '../process/index.js';
import {
  readSettings,
  settingsSchema,
  type Settings,
} from '../settings/index.js';
import {Host} from './host.js';

const EXIT_SETTINGS = 2;
/**
 * Longest time that a host goes on with the requests that it holds after an
 * error that nothing caught.
 */
const MAX_DRAIN_AFTER_ERROR_MILLISECONDS = 10_000;

/**
 * Runs the daemon until a signal ends it.
 *
 * ```ts
 * await runDaemon(process.argv.slice(2), process.env);
 * ```
 */
export async function runDaemon(
  flags: readonly string[],
  variables: Readonly<Record<string, string | undefined>>,
): Promise<void> {
  try {
    const settings = readSettings(flags, variables, settingsSchema);
    await startHost(settings);
  } catch (error) {
    if (!(error instanceof ArbutusslipError)) throw error;
    process.stderr.write(`arbutusslipd: ${error.message}\n`);
    process.exitCode = EXIT_SETTINGS;
  }
}

async function startHost(settings: Settings): Promise<void> {
  const clock = new SystemClock();
  const logger = createLogger(settings.logLevel, settings.logForm, clock);
  const metrics = await Metrics.withStatsd(settings.metrics);
  const platform = new HttpPlatform(settings.platform);
  const host = new Host({settings, clock, logger, metrics, platform});
  const load = () => host.load;
  endOnUncaughtError({
    source: process,
    logger,
    load,
    end: code => {
      clock.after(MAX_DRAIN_AFTER_ERROR_MILLISECONDS, () => process.exit(code));
      void host.drain().finally(() => process.exit(code));
    },
  });
  await host.start();
  new LoadReporter({clock, logger, load}).start();
  const leave = () => void host.drain().then(() => process.exit(0));
  process.on('SIGTERM', leave);
  process.on('SIGINT', leave);
}
