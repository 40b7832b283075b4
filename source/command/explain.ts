/** `arbutusslip explain`: what would happen to a request. */
import {defineCommand} from 'citty';

import {explain, readLog} from '../operator/index.js';
import {commonArguments, platformOf, report} from './common.js';

export const explainCommand = defineCommand({
  meta: {name: 'explain', description: 'Say what would happen to a request.'},
  args: {
    team: {type: 'string', description: 'Team of the caller.', required: true},
    model: {type: 'string', description: 'Model of a chat completion.'},
    method: {type: 'string', description: 'Method.', default: 'POST'},
    path: {type: 'string', description: 'Path.', default: '/'},
    ...commonArguments,
  },
  run: ({args}) =>
    report(args, async () => {
      const {configuration} = await readLog(platformOf(args));
      const {team, method, path, model} = args;
      const value = explain(configuration, {team, method, path, model});
      const lines = Object.entries(value).map(
        ([name, found]) => `${name}: ${String(found ?? '-')}`,
      );
      return {value, lines, failed: value.refusal !== undefined};
    }),
});
