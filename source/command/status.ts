/** `arbutusslip status`: what the hosts say of themselves. */
import {defineCommand} from 'citty';

import {statuses, type HostReach} from '../operator/index.js';
import {commonArguments, platformOf, report} from './common.js';

export const statusCommand = defineCommand({
  meta: {name: 'status', description: 'The state of the fleet.'},
  args: commonArguments,
  run: ({args}) =>
    report(args, async () => {
      const reaches = await statuses(platformOf(args));
      const failed = reaches.some(({status}) => status === undefined);
      return {value: reaches, lines: reaches.map(line), failed};
    }),
});

function line({host, status}: HostReach): string {
  if (!status) return `${host.name} ${host.zone} out of reach`;
  const {state, applied, waiting, underWay, logInReach} = status;
  return (
    `${host.name} ${host.zone} ${state} applied=${applied} ` +
    `waiting=${waiting} under-way=${underWay} log=${logInReach ? 'in' : 'out of'} reach`
  );
}
