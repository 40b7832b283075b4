/**
 * A zone has been evacuated. One of fourteen machines loses its way to the store
 * for some seconds, its process is killed and starts again meanwhile, and
 * configurations come in quick succession. When all is whole again, that machine
 * must not send to the engines of the evacuated zone.
 */
import {dirname} from 'node:path';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';

import {ask} from '../support-3/client.mjs';
import {startProxy, Way} from '../support-3/cut.mjs';
import {configuration, Engines} from '../support-3/engines.mjs';
import {Fleet, sleep} from '../support-3/fleet.mjs';
import {runCase} from '../support-3/record.mjs';
import {Platform} from '../support-3/store.mjs';

const IP = '127.0.0.1';
const ZONES = {palermo: 'sicilia', catania: 'sicilia'};
const HOSTS = 14;
/** The host that is cut off; it does not follow the store for others. */
const CUT_HOST = 13;
const CUT_MILLISECONDS = 7_000;
const STORM_MILLISECONDS = 4_900;
const STORM_GAP_MILLISECONDS = 243;
const EVACUATE_MILLISECONDS = 5_000;
const CONTACT_MILLISECONDS = 3_000;
const READS = 40;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({record, isTroubled, onEnd}) => {
    const note = text => record.note(text);
    const platform = new Platform();
    const store = await platform.start(IP);
    onEnd(() => platform.stop());
    let version = 0;
    const configure = () => {
      version += 3;
      platform.put('keyed.op', 'config', configuration(version));
    };
    configure();
    const engines = new Engines(platform);
    onEnd(() => engines.stop());
    const ran = new Map();
    engines.onLine = ({event, id, attempt}) => {
      if (event === 'run') ran.set(attempt, id);
    };
    for (const zone of Object.keys(ZONES))
      await engines.start({id: `i-${zone}`, ip: IP, service: 'register', zone});
    const fleet = new Fleet();
    onEnd(() => fleet.stop());
    const way = new Way();
    const proxy = await startProxy({host: IP, target: store, way});
    onEnd(() => proxy.stop());
    for (let index = 0; index < HOSTS; index++) {
      const zone = index % 2 === 0 ? 'palermo' : 'catania';
      await fleet.start(`edge-${zone}-${index}`, {
        ip: IP,
        zone,
        zones: ZONES,
        store: index === CUT_HOST ? proxy.address : store,
        cloud: store,
      });
    }
    const host = fleet.hosts[CUT_HOST];
    await fleet.ready();
    await sleep(4_000);
    const read = async name => {
      const counts = new Map();
      for (let index = 0; index < READS; index++) {
        const attempt = `${name}-${index}`;
        const {status} = await ask(host.front, {
          method: 'GET',
          path: '/read/1',
          attempt,
          headers: {'X-Deadline-Ms': '1500'},
        });
        const place = `${status} by ${ran.get(attempt) ?? 'none'}`;
        counts.set(place, (counts.get(place) ?? 0) + 1);
        await sleep(75);
      }
      const texts = [...counts].map(([place, count]) => `${count} x ${place}`);
      note(`${READS} reads at ${host.name}, ${name}: ${texts.join(', ')}`);
      return counts.get('200 by i-catania') ?? 0;
    };
    await read('before');
    platform.put('keyed.op', 'evacuate/catania', {});
    note('the evacuation of catania is acknowledged');
    await sleep(EVACUATE_MILLISECONDS + 500);
    if ((await read('evacuated')) > 0) throw new Error('not evacuated');
    const storm = () => {
      const stormed = setInterval(configure, STORM_GAP_MILLISECONDS);
      setTimeout(() => clearInterval(stormed), STORM_MILLISECONDS);
      note('configurations come in quick succession');
    };
    if (isTroubled) {
      way.cut();
      note(`${host.name} is partitioned from the store`);
      const healed = sleep(CUT_MILLISECONDS).then(() => way.heal());
      await sleep(200);
      await fleet.kill(host);
      note(`the process of ${host.name} is killed`);
      await sleep(300);
      host.lines.splice(0);
      fleet.restart(host);
      storm();
      await healed;
      note('the partition heals');
    } else {
      storm();
      await sleep(CUT_MILLISECONDS);
    }
    await sleep(CONTACT_MILLISECONDS + 2_000);
    const first = await read('in touch');
    await sleep(10_000);
    const second = await read('later');
    const known = host.lines.filter(({event}) => event === 'zone');
    note(`${host.name} has logged ${known.length} evacuations since its start`);
    if (first + second === 0) return [];
    return [
      `EVAC ${first + second} of ${2 * READS} requests reached the evacuated zone`,
    ];
  },
);
