/** The command line of arbutusslip-edge, and what a failed start says. */
import {defineCommand, runMain} from 'citty';

import {openPlatform} from '../../platform/index.js';
import {ArbutusslipError, SettingsError} from '../errors/index.js';
import {runEdge} from './run.js';
import type {ReloadSignals} from './signals.js';

const EXIT_SETTINGS = 2;
const PORTS = 65_536;
const LEVELS = ['debug', 'info', 'warn'] as const;

/** Reads the flags and runs the host. */
export function startEdge(signals: ReloadSignals): Promise<void> {
  return runMain(commandOf(signals));
}

const commandOf = (signals: ReloadSignals) =>
  defineCommand({
    meta: {
      name: 'arbutusslip-edge',
      description: 'One host of arbutusslip on the users’ platform.',
    },
    args: {
      'log-level': {
        type: 'enum',
        options: [...LEVELS],
        default: 'info',
        description: 'Least level of log lines.',
      },
      'metrics-port': {
        type: 'string',
        description: 'Port on which the metrics are shown; none by default.',
      },
      statsd: {
        type: 'string',
        description: 'Address of a StatsD server; none by default.',
      },
    },
    async run({args}) {
      try {
        const port = portOf(args['metrics-port']);
        const {settings, parts: platform} = openPlatform(process.env, port);
        const logLevel = LEVELS.find(level => level === args['log-level']);
        const {statsd} = args;
        await runEdge({
          settings,
          readAgain: () => openPlatform(process.env, port).settings,
          platform,
          logLevel: logLevel ?? 'info',
          statsd,
          signals,
        });
      } catch (error) {
        if (!(error instanceof ArbutusslipError)) throw error;
        process.stderr.write(`arbutusslip-edge: ${error.message}\n`);
        process.exitCode = EXIT_SETTINGS;
      }
    },
  });

/** The port in a flag. Throws a SettingsError. */
function portOf(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const port = Number(text);
  if (Number.isInteger(port) && port > 0 && port < PORTS) return port;
  throw new SettingsError('--metrics-port', 'is not a port');
}
