/** The course of a host process: its parts, and its end on a signal. */
import {SystemClock} from '../clock/index.js';
import {SettingsError} from '../errors/index.js';
import {BoundedSink, createLogger} from '../logging/index.js';
import {Metrics} from '../metrics/index.js';
import {seededRandom} from '../random/index.js';
import {EdgeHost} from './host.js';
import type {PlatformParts} from './platform.js';
import type {EdgeSettings} from './settings.js';
import type {ReloadSignals} from './signals.js';

const STANDARD_OUTPUT = 1;

/** What differs between hosts. */
export interface EdgeOptions {
  readonly settings: EdgeSettings;
  /** Reads the settings anew. Throws a SettingsError. */
  readonly readAgain: () => EdgeSettings;
  readonly platform: PlatformParts;
  readonly logLevel: 'debug' | 'info' | 'warn';
  /** Address of a StatsD server; none where it is absent. */
  readonly statsd?: string;
  readonly signals: ReloadSignals;
}

/** Runs a host until a signal ends it. Throws a SettingsError. */
export async function runEdge(options: EdgeOptions): Promise<void> {
  const {settings, platform, logLevel, statsd} = options;
  const clock = new SystemClock();
  const sink = new BoundedSink(STANDARD_OUTPUT, clock);
  const logger = createLogger(logLevel, 'json', clock, (level, line) =>
    sink.take(level, line),
  );
  const metrics = await Metrics.sentTo(statsd);
  const random = seededRandom(process.pid ^ Date.now());
  const parts = {settings, platform, clock, logger, metrics, random};
  const host = new EdgeHost(parts);
  logger.info('start', {host: settings.name, zone: settings.zone});
  await host.start();
  const leave = (signal: string) => {
    logger.info('stop', {signal});
    void host.drain().then(() => {
      sink.flush();
      process.exit(0);
    });
  };
  const reload = () => {
    try {
      host.reload(options.readAgain());
      logger.info('reload', {outcome: 'taken'});
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error;
      logger.error('reload', {outcome: 'refused', detail: error.message});
    }
  };
  options.signals.onReload(reload);
  process.on('SIGTERM', leave);
  process.on('SIGINT', leave);
}
