/** `arbutusslip zone`: take an availability zone out and bring it back. */
import {defineCommand} from 'citty';

import type {Zone} from '../configuration/index.js';
import {changeZone, readLog} from '../operator/index.js';
import {
  commonArguments,
  platformOf,
  publishAndFollow,
  report,
} from './common.js';

function zoneChange(state: Zone['state'], description: string) {
  return defineCommand({
    meta: {name: state, description},
    args: {
      name: {
        type: 'positional',
        description: 'Name of the availability zone.',
        required: true,
      },
      ...commonArguments,
    },
    run: ({args}) =>
      report(args, async () => {
        const platform = platformOf(args);
        const {configuration} = await readLog(platform);
        const note = changeZone(configuration, args.name, state);
        return publishAndFollow(platform, note);
      }),
  });
}

export const zoneCommand = defineCommand({
  meta: {name: 'zone', description: 'Availability zones.'},
  subCommands: {
    out: zoneChange('out', 'Give the availability zone no new work.'),
    in: zoneChange('in', 'Bring the availability zone back.'),
  },
});
