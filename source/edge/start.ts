/** The command line of arbutusslip-edge; errors at the start go to stderr. */
import {defineCommand, runMain} from 'citty';

import {openPlatform} from '../../platform/index.js';
import {ArbutusslipError, SettingsError} from '../errors/index.js';
import {runEdge} from './run.js';
import type {ProcessSignals} from './signals.js';

const FAILED_START_EXIT_CODE = 2;
const PORT_COUNT = 65_536;
const LOG_LEVELS = ['debug', 'info', 'warn'] as const;

/**
 * Parses the command line and starts the host. If that fails, prints the error
 * and sets the exit code.
 */
export function startEdge(signals: ProcessSignals): Promise<void> {
  return runMain(createCommand(signals));
}

const createCommand = (signals: ProcessSignals) =>
  defineCommand({
    meta: {
      name: 'arbutusslip-edge',
      description: 'Runs one arbutusslip host on the users’ platform.',
    },
    args: {
      'log-level': {
        type: 'enum',
        options: [...LOG_LEVELS],
        default: 'info',
        description: 'Lowest level of the lines to log.',
      },
      'metrics-port': {
        type: 'string',
        description: 'Port to expose the metrics on; not exposed by default.',
      },
      statsd: {
        type: 'string',
        description:
          'Address of a StatsD server to send metrics to; none by default.',
      },
    },
    async run({args}) {
      try {
        const port = parsePort(args['metrics-port']);
        const {settings, parts: platform} = openPlatform(process.env, port);
        const logLevel = LOG_LEVELS.find(level => level === args['log-level']);
        const {statsd} = args;
        await runEdge({
          settings,
          readSettings: () => openPlatform(process.env, port).settings,
          platform,
          logLevel: logLevel ?? 'info',
          statsd,
          signals,
        });
      } catch (error) {
        if (!(error instanceof ArbutusslipError)) throw error;
        process.stderr.write(`arbutusslip-edge: ${error.message}\n`);
        process.exitCode = FAILED_START_EXIT_CODE;
      }
    },
  });

/** Parses the port given by --metrics-port. Throws a SettingsError. */
function parsePort(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const port = Number(text);
  if (Number.isInteger(port) && port > 0 && port < PORT_COUNT) return port;
  throw new SettingsError(
    '--metrics-port',
    'must be a port number from 1 to 65535',
  );
}
