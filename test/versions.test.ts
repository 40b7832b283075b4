/**
 * Endpoints of several software versions side by side in one service, whose
 * streams do not fit together, before two host processes.
 */
import test from 'ava';

import {EdgeFleet, type HostProcess} from './support/edgeprocess.js';
import {
  BROKEN_AFTER,
  EVENTS,
  readStream as read,
  streamOf,
} from './support/streams.js';

const STREAMS = 8;
/** Time by which hosts have recorded what has begun. */
const RECORDED_MILLISECONDS = 500;
/** The endpoints with their software versions. */
const VERSIONS = [
  ['a-1', 'v1'],
  ['b-1', 'v2'],
  ['b-2', 'v2'],
  ['b-3', 'v2'],
] as const;

/** Streams that began, with the version of each, when all hosts are killed. */
async function beginThenKillAll(
  fleet: EdgeFleet,
  hosts: readonly HostProcess[],
): Promise<Map<string, string | undefined>> {
  const begun = new Map<string, string | undefined>();
  await Promise.all(
    Array.from({length: STREAMS}, async (_, stream) => {
      const host = hosts[stream % hosts.length];
      if (!host) return;
      const headers = {'x-attempt-id': `begun-${stream}`};
      const [name] = await read(host, headers, BROKEN_AFTER);
      begun.set(`begun-${stream}`, name?.[0]);
    }),
  );
  await new Promise(resolve => setTimeout(resolve, RECORDED_MILLISECONDS));
  for (const {child} of hosts) child.kill('SIGKILL');
  await Promise.all(hosts.map(({ended}) => ended));
  return begun;
}

/** Takes streams up in turn; returns the version that wrote the rest of each. */
async function takeUp(
  hosts: readonly HostProcess[],
  begun: ReadonlyMap<string, string | undefined>,
): Promise<Map<string, string | undefined>> {
  const rest = new Map<string, string | undefined>();
  let turn = 0;
  for (const attempt of begun.keys()) {
    const host = hosts[turn++ % hosts.length];
    if (!host) continue;
    const headers = {
      'x-attempt-id': `again-${attempt}`,
      'last-event-id': String(BROKEN_AFTER),
      resumes: attempt,
    };
    const [name] = await read(host, headers, EVENTS);
    rest.set(attempt, name?.[0]);
  }
  return rest;
}

test('streams that break off when all hosts are killed in a release go on at the version that began them', async t => {
  const fleet = await EdgeFleet.start(t);
  fleet.configure(['key']);
  for (const [id, version] of VERSIONS)
    await fleet.endpoint(id, streamOf(id), version);
  const hosts = [await fleet.host('host-0'), await fleet.host('host-1')];
  await Promise.all(hosts.map(host => fleet.ready(host)));
  const begun = await beginThenKillAll(fleet, hosts);
  const returned = hosts.map(host => fleet.restart(host));
  await Promise.all(returned.map(host => fleet.ready(host)));
  // The hosts take equal endpoints in turn, and would otherwise do so as before.
  for (const host of returned)
    await read(host, {'x-attempt-id': `other-${host.name}`}, EVENTS);
  const rest = await takeUp(returned, begun);
  t.deepEqual(rest, begun);
  t.is(new Set(begun.values()).size, 2);
});

test('streams whose version has left while all hosts were killed go on nowhere', async t => {
  const fleet = await EdgeFleet.start(t);
  fleet.configure(['key']);
  await fleet.endpoint('a-1', streamOf('a-1'), 'v1');
  const hosts = [await fleet.host('host-0'), await fleet.host('host-1')];
  await Promise.all(hosts.map(host => fleet.ready(host)));
  const begun = await beginThenKillAll(fleet, hosts);
  t.true([...begun.values()].every(version => version === 'a'));
  fleet.remove('a-1');
  fleet.born = Date.now();
  await fleet.endpoint('b-1', streamOf('b-1'), 'v2');
  const returned = hosts.map(host => fleet.restart(host));
  await Promise.all(returned.map(host => fleet.ready(host)));
  const rest = await takeUp(returned, begun);
  t.true([...rest.values()].every(version => version === undefined));
});

test('a stream that its client takes up at another host goes on at the software version that began it', async t => {
  const fleet = await EdgeFleet.start(t);
  fleet.configure(['key']);
  for (const [id, version] of VERSIONS)
    await fleet.endpoint(id, streamOf(id), version);
  const first = await fleet.host('host-0');
  const second = await fleet.host('host-1');
  await Promise.all([fleet.ready(first), fleet.ready(second)]);

  // The hosts take equal endpoints in turn, and would otherwise do so in step.
  await read(second, {'x-attempt-id': 'other'}, EVENTS);
  for (let stream = 0; stream < STREAMS; stream++) {
    const begun = `begun-${stream}`;
    const before = await read(first, {'x-attempt-id': begun}, BROKEN_AFTER);
    const after = await read(
      second,
      {
        'x-attempt-id': `again-${stream}`,
        'last-event-id': String(BROKEN_AFTER),
        resumes: begun,
      },
      EVENTS,
    );
    const versions = [...before, ...after].map(name => name[0]);
    t.is(new Set(versions).size, 1, versions.join(' '));
    t.true(after.length > 0, 'the stream did not go on');
  }
});
