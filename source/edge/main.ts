/** arbutusslip-edge, the daemon of one host on the users' platform. */
import {defineCommand, runMain} from 'citty';

import {openPlatform} from '../../platform/index.js';
import {ArbutusslipError} from '../errors/index.js';
import {runEdge} from './run.js';

const EXIT_SETTINGS = 2;
const LEVELS = ['debug', 'info', 'warn'] as const;

const edge = defineCommand({
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
    statsd: {
      type: 'string',
      description: 'Address of a StatsD server; none by default.',
    },
  },
  async run({args}) {
    try {
      const {settings, parts: platform} = openPlatform(process.env);
      const logLevel = LEVELS.find(level => level === args['log-level']);
      const {statsd} = args;
      await runEdge({
        settings,
        readAgain: () => openPlatform(process.env).settings,
        platform,
        logLevel: logLevel ?? 'info',
        statsd,
      });
    } catch (error) {
      if (!(error instanceof ArbutusslipError)) throw error;
      process.stderr.write(`arbutusslip-edge: ${error.message}\n`);
      process.exitCode = EXIT_SETTINGS;
    }
  },
});

await runMain(edge);
