/**
 * Host processes in a release, one of which is out of step: it hears nothing of the
 * store and of the other host, or stands still, while endpoints of a new software
 * version join and begin streams through the other host.
 */
import test, {type ExecutionContext} from 'ava';

import {FaultyProxy} from '../soak/proxy.js';
import {HOSTS_TOPIC} from '../source/hostregistry/index.js';
import {EdgeFleet, type HostProcess} from './support/edgeprocess.js';
import {BROKEN_AFTER, EVENTS, readStream, streamOf} from './support/streams.js';

/** Time after which a host has followed the endpoints for as long as it needs. */
const FOLLOWED_MILLISECONDS = 16_000;
const STREAMS = 6;
const NEW_ENDPOINTS = 4;
const JOINED_MILLISECONDS = 200;

/** A stream that broke off, and what wrote it. */
interface BrokenStream {
  readonly attempt: string;
  readonly version: string;
}

const wait = (duration: number) =>
  new Promise<void>(resolve => setTimeout(resolve, duration));

/** Two hosts that do not know of each other; the second's store is behind a proxy. */
async function startHosts(t: ExecutionContext) {
  const fleet = await EdgeFleet.start(t);
  fleet.configure(['key']);
  await fleet.endpoint('a-1', streamOf('a-1'), 'v1');
  await fleet.endpoint('a-2', streamOf('a-2'), 'v1');
  const proxy = new FaultyProxy(fleet.site.address);
  await proxy.start();
  t.teardown(() => proxy.stop());
  fleet.knowsOthers = false;
  // Else they would find each other in the store.
  fleet.site.faults.busyTopics = new Set([HOSTS_TOPIC]);
  const host = await fleet.host('host-0');
  const late = await fleet.host('host-1', undefined, proxy.address);
  await Promise.all([fleet.ready(host), fleet.ready(late)]);
  await wait(FOLLOWED_MILLISECONDS);
  return {fleet, proxy, host, late};
}

/** Endpoints of the new version join; streams begin there and break off. */
async function beginOnNewVersion(
  fleet: EdgeFleet,
  host: HostProcess,
): Promise<BrokenStream[]> {
  fleet.born = Date.now();
  for (let number = 1; number <= NEW_ENDPOINTS; number++)
    await fleet.endpoint(`b-${number}`, streamOf(`b-${number}`), 'v2');
  await wait(JOINED_MILLISECONDS);
  const begun: BrokenStream[] = [];
  for (let number = 0; begun.length < STREAMS; number++) {
    const attempt = `begun-${number}`;
    const headers = {'x-attempt-id': attempt};
    const [name = ''] = await readStream(host, headers, BROKEN_AFTER);
    if (name.startsWith('b')) begun.push({attempt, version: 'b'});
  }
  return begun;
}

/** What the rest of a stream that a host takes up is written by. */
async function takeUp(
  host: HostProcess,
  {attempt}: BrokenStream,
): Promise<string> {
  const headers = {
    'x-attempt-id': `again-${attempt}`,
    'last-event-id': String(BROKEN_AFTER),
    resumes: attempt,
  };
  const [name = ''] = await readStream(host, headers, EVENTS);
  return name.slice(0, 1);
}

test('a host that is cut off while a new version joins joins the text of two versions', async t => {
  const {fleet, proxy, host, late} = await startHosts(t);
  proxy.set('silent');
  const begun = await beginOnNewVersion(fleet, host);
  const rests = await Promise.all(begun.map(stream => takeUp(late, stream)));
  t.deepEqual(
    rests.filter(rest => rest === 'a'),
    [],
    `${rests.join()} of streams that b began`,
  );
});

test('a host that stands still while a new version joins joins the text of two versions', async t => {
  const {fleet, proxy, host, late} = await startHosts(t);
  late.child.kill('SIGSTOP');
  // What the store answers meanwhile is lost, as when its connection has gone.
  proxy.set('silent');
  const begun = await beginOnNewVersion(fleet, host);
  const taken = begun.map(stream => takeUp(late, stream));
  await wait(JOINED_MILLISECONDS);
  proxy.set('pass');
  late.child.kill('SIGCONT');
  const rests = await Promise.all(taken);
  t.deepEqual(
    rests.filter(rest => rest === 'a'),
    [],
    `${rests.join()} of streams that b began`,
  );
  const goesOn = rests.filter(rest => rest === 'b');
  t.true(goesOn.length >= STREAMS / 2, `${goesOn.length} go on`);
});
