/**
 * The command line of arbutusslip-edge. Whatever fails at the start ends the
 * process at once, with a plain line on standard error and a structured one on
 * standard output.
 */
import {stripVTControlCharacters} from 'node:util';

import {
  defineCommand,
  renderUsage,
  runCommand,
  type ArgsDef,
  type CommandDef,
} from 'citty';

import {checkPlatformSettings, openPlatform} from '../../platform/index.js';
import {SystemClock} from '../clock/index.js';
import {SettingsError} from '../errors/index.js';
import {EndReporter, SETTINGS_EXIT_CODE} from '../process/index.js';
import {rejectNewDefaults} from '../settings/index.js';
import {runEdge} from './run.js';
import type {ProcessSignals} from './signals.js';

const PROGRAM = 'arbutusslip-edge';
const PORT_COUNT = 65_536;
const LOG_LEVELS = ['debug', 'info', 'warn'] as const;
const HELP_FLAGS: ReadonlySet<string> = new Set(['--help', '-h']);

const description = {
  meta: {
    name: PROGRAM,
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
    'balance-by-rates': {
      type: 'boolean',
      description:
        'Choose endpoints that state how long work takes by their speed.',
    },
    check: {
      type: 'boolean',
      description: 'Say what is wrong with the settings file, and end.',
    },
  },
} satisfies CommandDef<ArgsDef>;

/**
 * Parses the command line and starts the host, or does what else the flags ask
 * for. If that fails, ends the process with the cause.
 */
export async function startEdge(signals: ProcessSignals): Promise<void> {
  const flags = process.argv.slice(2);
  if (flags.some(flag => HELP_FLAGS.has(flag))) {
    process.stdout.write(`${await renderUsage(defineCommand(description))}\n`);
    return;
  }
  if (flags.includes('--check')) {
    process.exitCode = printCheck();
    return;
  }
  const clock = new SystemClock();
  const ends = new EndReporter({program: PROGRAM, source: process, clock});
  try {
    await runCommand(createCommand(signals, ends), {rawArgs: flags});
  } catch (error) {
    endFailedStart(ends, error);
  }
}

function endFailedStart(ends: EndReporter, error: unknown): void {
  if (error instanceof SettingsError) {
    const {flag: setting, message} = error;
    ends.fail(SETTINGS_EXIT_CODE, 'settings', message, {setting});
  } else if (error instanceof Error && error.name === 'CLIError') {
    const text = stripVTControlCharacters(error.message);
    ends.fail(SETTINGS_EXIT_CODE, 'settings', text, {});
  } else {
    ends.failUncaught(error);
  }
}

const createCommand = (signals: ProcessSignals, ends: EndReporter) =>
  defineCommand({
    ...description,
    async run({args}) {
      const port = parsePort(args['metrics-port']);
      const opened = openPlatform(process.env, port);
      const {defaults, parts: platform} = opened;
      const balancesByRates = args['balance-by-rates'] === true;
      const settings = {...opened.settings, balancesByRates};
      ends.memoryLimitMegabytes = settings.memoryMegabytes;
      const logLevel = LOG_LEVELS.find(level => level === args['log-level']);
      const {statsd} = args;
      await runEdge({
        settings,
        defaults,
        readSettings: () => {
          const again = openPlatform(process.env, port);
          rejectNewDefaults('settings', defaults, again.defaults);
          return {...again.settings, balancesByRates};
        },
        platform,
        logLevel: logLevel ?? 'info',
        statsd,
        signals,
        ends,
      });
    },
  });

/** Prints what a check of the settings file finds; returns the exit code. */
function printCheck(): number {
  try {
    const {problems, defaults} = checkPlatformSettings(process.env);
    for (const {name, detail} of problems)
      process.stdout.write(`problem ${name}: ${detail}\n`);
    for (const {name, detail} of defaults)
      process.stdout.write(`default ${name}: ${detail}\n`);
    return problems.length === 0 ? 0 : SETTINGS_EXIT_CODE;
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stdout.write(`problem ${error.message}\n`);
    return SETTINGS_EXIT_CODE;
  }
}

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
