/**
 * The machine of the leader is cut off from the platform while its usage report is
 * on the way. The leader gives the call up, another one takes over, the cut heals,
 * and the old report must not arrive behind the reports of the new leader.
 */
import {dirname} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';

import {startProxy, Way} from '../support-3/cut.mjs';
import {configuration, Engines} from '../support-3/engines.mjs';
import {Fleet, sleep} from '../support-3/fleet.mjs';
import {runCase} from '../support-3/record.mjs';
import {Platform} from '../support-3/store.mjs';

const IP = '127.0.0.1';
const ZONES = {palermo: 'sicilia', catania: 'sicilia', siracusa: 'sicilia'};
/** The largest node_cut of the site files has 12 s, the largest core_cut 7.1 s. */
const CUT_MILLISECONDS = 7_000;
const THAW_MILLISECONDS = 300;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({record, isTroubled, onEnd}) => {
    const note = text => record.note(text);
    const platform = new Platform();
    const store = await platform.start(IP);
    onEnd(() => platform.stop());
    platform.put('keyed.op', 'config', configuration());
    const engines = new Engines(platform);
    onEnd(() => engines.stop());
    for (const zone of Object.keys(ZONES))
      await engines.start({id: `i-${zone}`, ip: IP, service: 'register', zone});
    const fleet = new Fleet();
    onEnd(() => fleet.stop());
    const ways = new Map();
    let cutHost;
    let healedAt;
    const cutOff = name => {
      cutHost = name;
      ways.get(name).cut();
      note(`${name} is cut off from the platform, its call is on the way`);
      setTimeout(() => {
        ways.get(name).heal();
        healedAt = performance.now();
        note(`the cut of ${name} heals`);
      }, CUT_MILLISECONDS);
    };
    const names = Object.keys(ZONES).map(zone => [`edge-${zone}-1`, zone]);
    for (const [name, zone] of names) {
      const way = new Way();
      ways.set(name, way);
      const watch = bytes => {
        const isDue = isTroubled && !cutHost && platform.duties.length >= 2;
        if (isDue && bytes.toString('latin1').startsWith('POST /usage'))
          cutOff(name);
      };
      const toStore = await startProxy({host: IP, target: store, way});
      const toDuties = await startProxy({
        host: IP,
        target: store,
        way,
        onBytes: watch,
        note,
      });
      onEnd(() => toStore.stop());
      onEnd(() => toDuties.stop());
      await fleet.start(name, {
        ip: IP,
        zone,
        zones: ZONES,
        store: toStore.address,
        cloud: toDuties.address,
      });
    }
    await fleet.ready();
    const breaks = [];
    let highest = 0;
    platform.onDuty = ({at, path, holder, fence, body}) => {
      const sinceHeal = healedAt === undefined ? Infinity : at - healedAt;
      note(
        `platform: ${path} window ${body.windowId} by ${holder}, token ${fence}`,
      );
      if (fence < highest && sinceHeal > THAW_MILLISECONDS)
        breaks.push(
          `ONE ${path} with token ${fence} of ${holder} came after ${highest}` +
            (healedAt
              ? `, ${Math.round(sinceHeal)} ms after the cut had healed`
              : ''),
        );
      highest = Math.max(highest, fence);
    };
    await sleep(isTroubled ? 45_000 : 40_000);
    if (platform.duties.length < 4) throw new Error('too few reports came');
    if (isTroubled && !healedAt) throw new Error('no report was on its way');
    for (const host of fleet.hosts)
      for (const {event, time, fields} of host.lines)
        if (['duties', 'usage-reported'].includes(event))
          note(
            `log of ${host.name}: ${time} ${event} ${JSON.stringify(fields)}`,
          );
    return breaks;
  },
);
