/**
 * Requests on kept connections to hosts of the own interface that are told to
 * stop: a request that was passed on gets an answer, and the host ends.
 */
import {Agent, request} from 'node:http';
import {connect} from 'node:net';

import test, {type ExecutionContext} from 'ava';
import PQueue from 'p-queue';

import {partsOf} from '../source/wire/index.js';
import {DEPLOYMENTS} from '../tools/deployments.js';
import {ask, Fleet, type HostProgram} from '../tools/fleet.js';

const TEAM = 'editors';
const ENDPOINT_DELAY_MILLISECONDS = 1_500;
/** Time within which a host with nothing in progress must have ended. */
const END_MILLISECONDS = 12_000;

/** Deployments that run at once. */
const places = new PQueue({concurrency: 2});

const wait = (duration: number) =>
  new Promise<void>(resolve => setTimeout(resolve, duration));

interface Scene {
  readonly fleet: Fleet;
  readonly host: HostProgram;
  readonly endpoint: string;
}

/** Starts one host with an endpoint of each kind. */
async function start(t: ExecutionContext): Promise<Scene> {
  await new Promise<void>(resolve => {
    void places.add(async () => {
      await new Promise<void>(release => {
        t.teardown(release);
        resolve();
      });
    });
  });
  const deployment = DEPLOYMENTS.consorzio;
  const groups = deployment.groups.map(group => ({...group, count: 1}));
  const fleet = await Fleet.start(
    {...deployment, hosts: 1, groups},
    {hostFlags: ['--drain-milliseconds=300']},
  );
  t.teardown(() => fleet.stop());
  await fleet.configure();
  const [host] = fleet.hosts;
  const endpoint = [...fleet.endpoints.keys()].find(name =>
    name.startsWith('register'),
  );
  if (!host || !endpoint) throw new RangeError('no host or no endpoint');
  return {fleet, host, endpoint};
}

/** Revises an entry on a kept connection; the status is 0 for no answer. */
function revise(
  {fleet, host}: Scene,
  agent: Agent,
  body: readonly string[] = ['text'],
  gap = 0,
): Promise<number> {
  return new Promise(resolve => {
    const sent = request(
      `http://${host.address}/register/1`,
      {
        agent,
        method: 'POST',
        headers: {authorization: `Bearer ${fleet.keys.get(TEAM)}`},
      },
      message => {
        message.resume();
        message.on('error', () => {});
        message.on('close', () =>
          resolve(message.complete ? (message.statusCode ?? 0) : 0),
        );
      },
    );
    sent.on('error', () => resolve(0));
    const send = async () => {
      for (const part of body) {
        sent.write(part);
        await wait(gap);
      }
      sent.end();
    };
    void send();
  });
}

function keptAgent(t: ExecutionContext): Agent {
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  t.teardown(() => agent.destroy());
  return agent;
}

async function runs({fleet, endpoint}: Scene): Promise<number> {
  const address = fleet.endpoints.get(endpoint)?.address ?? '';
  const ledger = (await ask(address, 'GET', '/ledger')) as {entries: unknown[]};
  return ledger.entries.length;
}

function endsInTime({exited}: HostProgram): Promise<number | null | string> {
  return Promise.race([exited, wait(END_MILLISECONDS).then(() => 'runs on')]);
}

test('a request in progress is answered though SIGTERM comes twice', async t => {
  const scene = await start(t);
  const {fleet, host, endpoint} = scene;
  const agent = keptAgent(t);
  t.is(await revise(scene, agent), 200);
  await fleet.control(endpoint, {delay: ENDPOINT_DELAY_MILLISECONDS});
  const answer = revise(scene, agent);
  await wait(200);
  host.process.kill('SIGTERM');
  await wait(400);
  host.process.kill('SIGTERM');
  t.is(await answer, 200);
  t.is(await endsInTime(host), 0);
});

test('a request whose body still comes during the drain is answered', async t => {
  const scene = await start(t);
  const agent = keptAgent(t);
  t.is(await revise(scene, agent), 200);
  const answer = revise(scene, agent, ['a', 'b', 'c'], 500);
  await wait(200);
  scene.host.process.kill('SIGTERM');
  t.is(await answer, 200);
  t.is(await endsInTime(scene.host), 0);
});

test('a request in progress gets its own answer, and bytes that are no request behind it are refused', async t => {
  const scene = await start(t);
  const {fleet, host, endpoint} = scene;
  t.is(await revise(scene, keptAgent(t)), 200);
  await fleet.control(endpoint, {delay: ENDPOINT_DELAY_MILLISECONDS});
  const socket = connect(partsOf(host.address));
  let text = '';
  socket.on('data', part => (text += part.toString()));
  socket.on('error', () => {});
  const closed = new Promise<void>(resolve => socket.once('close', resolve));
  socket.write(
    'POST /register/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n' +
      `Authorization: Bearer ${fleet.keys.get(TEAM)}\r\n\r\ntextwhat is this?\r\n\r\n`,
  );
  await Promise.race([closed, wait(END_MILLISECONDS)]);
  const statuses = [...text.matchAll(/HTTP\/1\.1 (\d+)/g)];
  t.deepEqual(
    statuses.map(([, status]) => status),
    ['200', '400'],
  );
});

test('requests that keep coming through a drain are answered or not run', async t => {
  const scene = await start(t);
  const agents = Array.from({length: 10}, () => keptAgent(t));
  const statuses: number[] = [];
  let isOver = false;
  void scene.host.exited.then(() => (isOver = true));
  const asking = agents.map(async agent => {
    while (!isOver) {
      statuses.push(await revise(scene, agent));
      await wait(5);
    }
  });
  await wait(300);
  scene.host.process.kill('SIGTERM');
  t.is(await endsInTime(scene.host), 0);
  await Promise.all(asking);
  const answered = statuses.filter(status => status === 200).length;
  t.true(answered > 0);
  t.is(await runs(scene), answered);
});

test('a caller that never asks on its connection does not keep a host from ending', async t => {
  const {host} = await start(t);
  const socket = connect(partsOf(host.address));
  socket.on('error', () => {});
  await new Promise(resolve => socket.once('connect', resolve));
  host.process.kill('SIGTERM');
  t.is(await endsInTime(host), 0);
  socket.destroy();
});

test('a platform that is silent does not keep a host from ending', async t => {
  const scene = await start(t);
  const {fleet, host} = scene;
  const agent = keptAgent(t);
  t.is(await revise(scene, agent), 200);
  fleet.platform.process.kill('SIGSTOP');
  host.process.kill('SIGTERM');
  await wait(100);
  t.is(await revise(scene, agent), 200);
  t.is(await endsInTime(host), 0);
});
