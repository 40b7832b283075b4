/**
 * The engines of a service are reclaimed, others of a newer version come later, and
 * all hosts are killed in between. Clients take their streams up again. No stream
 * may go on at the newer version.
 */
import {dirname} from 'node:path';
import {performance} from 'node:perf_hooks';
import {fileURLToPath} from 'node:url';

import {ask} from '../support-3/client.mjs';
import {configuration, Engines} from '../support-3/engines.mjs';
import {Fleet, sleep} from '../support-3/fleet.mjs';
import {runCase} from '../support-3/record.mjs';
import {Platform} from '../support-3/store.mjs';

const IP = '127.0.0.1';
const ZONES = {palermo: 'sicilia', catania: 'sicilia'};
const CLIENTS = 6;
const PIECES = 45;
const OLD_ENGINES = ['i-old-0', 'i-old-1'];
/** From the notice of a reclaim until the engines are gone. */
const LEAVE_MILLISECONDS = 2_500;
/** As long as the hosts have to run until they are sure of what has served. */
const CALM_MILLISECONDS = 18_000;
const DEADLINE_MILLISECONDS = 7_000;
/** The rule allows two streams. */
const ALLOWED_STREAMS = 2;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({record, isTroubled, onEnd}) => {
    const note = text => record.note(text);
    const platform = new Platform();
    const store = await platform.start(IP);
    onEnd(() => platform.stop());
    const config = configuration();
    const archive = {...config.services[0], name: 'archive'};
    const services = [...config.services, archive];
    platform.put('keyed.op', 'config', {...config, services});
    const engines = new Engines(platform);
    onEnd(() => engines.stop());
    engines.onLine = line => {
      if (line.event !== 'piece') note(`engine ${JSON.stringify(line)}`);
    };
    const start = (id, version, service = 'register') =>
      engines.start({
        id,
        ip: IP,
        service,
        zone: 'palermo',
        version,
        events: PIECES,
      });
    await start('i-archive', 'v1', 'archive');
    for (const id of OLD_ENGINES) await start(id, 'v1');
    const fleet = new Fleet();
    onEnd(() => fleet.stop());
    for (const zone of Object.keys(ZONES))
      await fleet.start(`edge-${zone}-1`, {
        ip: IP,
        zone,
        zones: ZONES,
        store,
        cloud: store,
      });
    await fleet.ready();
    await sleep(CALM_MILLISECONDS);
    const streams = Array.from({length: CLIENTS}, (_, index) =>
      takeStream(`stream-${index}`, fleet.hosts, note),
    );
    await sleep(700);
    for (const id of OLD_ENGINES) leave(platform, engines.engines.get(id));
    note('the old engines are reclaimed: they are draining and go in 2.5 s');
    await sleep(LEAVE_MILLISECONDS - 100);
    if (isTroubled) {
      note('all hosts are killed');
      await Promise.all(fleet.hosts.map(host => fleet.kill(host)));
    }
    await sleep(100);
    for (const id of OLD_ENGINES) {
      engines.engines.get(id).child.kill('SIGKILL');
      platform.put('keyed.servers', id, undefined);
    }
    note('the old engines have left');
    if (isTroubled) {
      await sleep(200);
      for (const host of fleet.hosts) fleet.restart(host);
      note('all hosts are started again');
    }
    await sleep(1_300);
    await Promise.all([start('i-new-0', 'v2'), start('i-new-1', 'v2')]);
    note('engines of the newer version are there');
    const mixed = [];
    for (const {name, text} of await Promise.all(streams)) {
      const versions = new Set(text.match(/by-v\d/g));
      note(
        `client ${name}: ${text.match(/piece-\d+/g)?.length ?? 0} pieces, ${[...versions]}`,
      );
      if (versions.size > 1) mixed.push(name);
    }
    for (const host of fleet.hosts)
      for (const {event, fields} of host.lines)
        if (event === 'stream-version' || event === 'stream-resumed')
          note(`log of ${host.name}: ${event} ${JSON.stringify(fields)}`);
    if (mixed.length <= ALLOWED_STREAMS) return [];
    return [
      `ORDER ${mixed.length} streams hold events of two software versions: ${mixed}`,
    ];
  },
);

/** Enters that an engine is being reclaimed. */
function leave(platform, {id, entry}) {
  platform.put('keyed.servers', id, {
    ...entry,
    spot: true,
    state: 'draining',
    leaves_ms: LEAVE_MILLISECONDS,
    sequence: 2,
  });
}

/** Takes a stream, and takes it up again as often as it breaks off in time. */
async function takeStream(name, hosts, note) {
  const end = performance.now() + DEADLINE_MILLISECONDS;
  const index = Number(name.split('-')[1]);
  let text = '';
  let begunBy;
  for (let attempt = 0; ; attempt++) {
    const id = `${name}-${attempt}`;
    const left = Math.round(end - performance.now());
    if (left <= 0) return {name, text};
    const {front} = hosts[(index + attempt) % hosts.length];
    const last = text
      .match(/id: (\d+)/g)
      ?.at(-1)
      ?.slice('id: '.length);
    const answer = await ask(front, {
      method: 'POST',
      path: '/draft/1',
      attempt: id,
      headers: {
        'X-Deadline-Ms': String(left),
        ...(last && {'Last-Event-Id': last, Resumes: begunBy}),
      },
      body: 'prompt',
    });
    if (answer.status !== 0)
      note(
        `client ${id}: ${answer.status}, ${answer.isComplete ? 'complete' : 'cut'}`,
      );
    if (answer.status === 200) {
      const whole = answer.body.slice(0, answer.body.lastIndexOf('\n\n') + 2);
      if (whole !== '') begunBy ??= id;
      text += whole;
      if (answer.isComplete) return {name, text};
    }
    await sleep(300);
  }
}
