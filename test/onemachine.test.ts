/** Several hosts on one machine, each started with the same command. */
import test from 'ava';

import {freeAddress} from '../tools/ports.js';
import {partsOf} from '../source/wire/index.js';
import {EdgeFleet, statusOf, until} from './support/edgeprocess.js';

const HOSTS = 3;
/** Time within which hosts are ready whose platform is there. */
const START_MILLISECONDS = 10_000;

// Guards against hosts that lived and never served, since another had their port.
test('hosts on one machine all serve though the command gives them the same metrics port', async t => {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['key']);
  const {port} = partsOf(await freeAddress());
  const flags = {program: [`--metrics-port=${port}`]};
  const names = Array.from({length: HOSTS}, (_, index) => `host-${index}`);
  const hosts = await Promise.all(
    names.map(name => fleet.host(name, undefined, undefined, flags)),
  );
  const end = performance.now() + START_MILLISECONDS;
  for (const {name, readiness} of hosts) {
    let status = 0;
    await until(async () => {
      status = await statusOf(readiness, '/');
      return status === 200 || performance.now() > end;
    });
    t.is(status, 200, name);
  }
  for (const host of hosts) t.is((await fleet.read(host, 'key'))[0], 200);
});
