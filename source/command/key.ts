/** `arbutusslip key`: create, list and withdraw keys. */
import {defineCommand} from 'citty';

import {addKey, createKey, readLog, withdrawKey} from '../operator/index.js';
import {
  commonArguments,
  platformOf,
  publishAndFollow,
  report,
  type Outcome,
} from './common.js';

const nameArgument = {
  type: 'positional',
  description: 'Name of the key.',
  required: true,
} as const;

const create = defineCommand({
  meta: {name: 'create', description: 'Create a key and print it, once.'},
  args: {
    name: nameArgument,
    team: {type: 'string', description: 'Team of the key.', required: true},
    ...commonArguments,
  },
  run: ({args}) =>
    report(args, async (): Promise<Outcome> => {
      const {text, digest} = createKey();
      const note = addKey(args.name, args.team, digest);
      const outcome = await publishAndFollow(platformOf(args), note);
      const value = {...(outcome.value as object), key: text};
      return {...outcome, value, lines: [...outcome.lines, `key: ${text}`]};
    }),
});

const list = defineCommand({
  meta: {name: 'list', description: 'List the keys, by name.'},
  args: commonArguments,
  run: ({args}) =>
    report(args, async () => {
      const {configuration} = await readLog(platformOf(args));
      const keys = [...configuration.tables.keys].map(
        ([name, {revision, object}]) => ({
          name,
          revision,
          team: object?.team,
          state: object ? 'live' : 'withdrawn',
        }),
      );
      const lines = keys.map(
        ({name, team, state}) => `${name} ${team ?? '-'} ${state}`,
      );
      return {value: keys, lines};
    }),
});

const withdraw = defineCommand({
  meta: {name: 'withdraw', description: 'Withdraw a key, for good.'},
  args: {name: nameArgument, ...commonArguments},
  run: ({args}) =>
    report(args, async () => {
      const platform = platformOf(args);
      const {configuration} = await readLog(platform);
      return publishAndFollow(platform, withdrawKey(configuration, args.name));
    }),
});

export const keyCommand = defineCommand({
  meta: {name: 'key', description: 'Keys.'},
  subCommands: {create, list, withdraw},
});
