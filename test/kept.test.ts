/**
 * Requests on kept connections to host processes that end, for each reason: a
 * request that was passed on gets an answer.
 */
import {connect} from 'node:net';

import test from 'ava';

import {partsOf} from '../source/wire/index.js';
import {
  EdgeFleet,
  sealed,
  until,
  type EndpointAnswer,
  type HostProcess,
} from './support/edgeprocess.js';
import {KeptCaller, type KeptAnswer} from './support/keptcaller.js';
import {
  answerAfterWait,
  CLOSED_MILLISECONDS,
  isAnswered,
  start,
  takePlace,
  wait,
} from './support/keptscene.js';

test('a request in progress at SIGTERM is answered on its kept connection', async t => {
  const {host, caller} = await start(t);
  const kept = await caller();
  const answer = kept.ask({path: '/record/1?wait=3200'});
  await wait(100);
  host.child.kill('SIGTERM');
  isAnswered(t, await answer);
  t.is(await host.ended, 0);
});

test('requests that keep coming on kept connections through a drain are answered', async t => {
  const {host, callers, noneIsLost} = await start(t);
  const kept = await callers(20);
  const answers: KeptAnswer[] = [];
  let isOver = false;
  void host.ended.then(() => (isOver = true));
  const asking = kept.map(async caller => {
    while (!isOver) {
      const answer = await caller.ask({path: '/read/1?wait=30'});
      answers.push(answer);
      if (answer.status === 0) await wait(5);
    }
  });
  host.child.kill('SIGTERM');
  t.is(await host.ended, 0);
  await Promise.all(asking);
  t.true(answers.some(({status}) => status === 200));
  noneIsLost(answers);
});

test('a request whose body still comes when the host closes idle connections is answered', async t => {
  const {host, caller} = await start(t);
  const kept = await caller();
  host.child.kill('SIGTERM');
  await wait(CLOSED_MILLISECONDS - 1_000);
  const body = ['some ', 'of ', 'the ', 'body'];
  const answer = await kept.ask({
    path: '/record/1?wait=300',
    body,
    bodyDelay: 500,
  });
  isAnswered(t, answer);
  t.is(await host.ended, 0);
});

for (const fault of ['away', 'busy'] as const) {
  test(`a drain ends with code 0 though the store is ${fault}`, async t => {
    const {fleet, host, caller} = await start(t);
    const kept = await caller();
    fleet.site.faults[fault] = true;
    const answer = kept.ask({path: '/record/1?wait=3200'});
    await wait(100);
    host.child.kill('SIGTERM');
    isAnswered(t, await answer);
    t.is(await host.ended, 0, host.errors.join(''));
  });
}

test('SIGTERM while a host has no configuration ends it with code 0', async t => {
  await takePlace(t);
  const fleet = await EdgeFleet.start(t);
  const host = await fleet.host('host-1');
  await until(() =>
    host.lines.some(({fields}) => fields['state'] === 'catching-up'),
  );
  const kept = new KeptCaller(host.callers);
  host.child.kill('SIGTERM');
  t.is((await kept.ask({path: '/read/1'})).status, 503);
  t.is(await host.ended, 0);
});

test('SIGTERM while a host is still loading ends it by that signal or with code 0', async t => {
  await takePlace(t);
  const fleet = await EdgeFleet.start(t);
  for (const delay of [0, 40, 80, 120, 160, 200]) {
    const host = await fleet.host(`host-${delay}`);
    await wait(delay);
    host.child.kill('SIGTERM');
    const code = await host.ended;
    t.true(code === 0 || host.child.signalCode === 'SIGTERM', `${code}`);
  }
});

test('requests in progress are answered though a configuration changes in a drain', async t => {
  const {fleet, host, callers} = await start(t);
  const kept = await callers(5);
  const answers = kept.map(one => one.ask({path: '/record/1?wait=3200'}));
  await wait(100);
  host.child.kill('SIGTERM');
  fleet.configure(['other']);
  await wait(200);
  fleet.configure(['key']);
  for (const answer of answers) isAnswered(t, await answer);
  t.is(await host.ended, 0);
});

test('requests in progress are answered though the host is paused before and in its drain', async t => {
  const {host, callers} = await start(t);
  const kept = await callers(5);
  const answers = kept.map(one => one.ask({path: '/record/1?wait=3200'}));
  await wait(100);
  host.child.kill('SIGSTOP');
  host.child.kill('SIGTERM');
  await wait(300);
  host.child.kill('SIGCONT');
  await wait(300);
  host.child.kill('SIGSTOP');
  await wait(300);
  host.child.kill('SIGCONT');
  for (const answer of answers) isAnswered(t, await answer);
  t.is(await host.ended, 0);
});

test('a second SIGTERM does not cut requests in progress', async t => {
  const {host, caller, passedOn} = await start(t);
  const kept = await caller();
  const before = passedOn();
  const answer = kept.ask({path: '/record/1?wait=1500'});
  await until(() => passedOn() > before);
  host.child.kill('SIGTERM');
  await wait(300);
  host.child.kill('SIGTERM');
  isAnswered(t, await answer);
  t.is(await host.ended, 0);
});

test('a request that comes while usage is stored at the end of a drain is answered', async t => {
  const {fleet, host, caller, passedOn} = await start(t);
  const kept = await caller();
  const first = kept.ask({path: '/record/1?wait=3200'});
  await wait(100);
  host.child.kill('SIGTERM');
  await wait(CLOSED_MILLISECONDS);
  fleet.site.faults.delay = 1_000;
  isAnswered(t, await first);
  const before = passedOn();
  const {status} = await kept.ask({path: '/record/1?wait=1500'});
  if (passedOn() > before) t.is(status, 200);
  t.is(await host.ended, 0);
});

test('a request in progress at the time limit of a drain gets a final answer', async t => {
  const {host, caller, passedOn} = await start(t, answerAfterWait, fleet => {
    fleet.graceSeconds = 4;
    fleet.routeTimeoutMilliseconds = 20_000;
  });
  const kept = await caller();
  const before = passedOn();
  const answer = kept.ask({path: '/read/1?wait=15000', deadline: 20_000});
  await until(() => passedOn() > before);
  host.child.kill('SIGTERM');
  const {status, whole} = await answer;
  t.true(status >= 500 && whole, `status ${status}`);
  t.is(await host.ended, 0);
});

test('a request that waits for an endpoint at the time limit of a drain gets a final answer', async t => {
  const {fleet, host, caller} = await start(t, answerAfterWait, site => {
    site.graceSeconds = 4;
    site.routeTimeoutMilliseconds = 20_000;
  });
  const kept = await caller();
  fleet.remove('register-1');
  await until(() => host.lines.some(({event}) => event === 'endpoint'));
  await wait(300);
  const answer = kept.ask({path: '/read/1', deadline: 20_000});
  await wait(100);
  host.child.kill('SIGTERM');
  const {status, whole} = await answer;
  t.true(status === 503 && whole, `status ${status}`);
  t.is(await host.ended, 0);
});

const LARGE_BYTES = 12_000_000;
const SLOW_READER_MILLISECONDS = 1_500;

/** Sends a request on a connection of its own and reads the answer late. */
async function readLate(
  host: HostProcess,
  path: string,
  keepAlive: boolean,
): Promise<number> {
  const socket = connect(partsOf(host.callers));
  socket.on('error', () => {});
  const connection = keepAlive ? 'keep-alive' : 'close';
  socket.write(
    `GET ${path} HTTP/1.1\r\nHost: register.example\r\n` +
      'Authorization: Bearer key\r\nX-Attempt-Id: late\r\n' +
      `X-Deadline-Ms: 6000\r\nConnection: ${connection}\r\n\r\n`,
  );
  let length = 0;
  socket.pause();
  await wait(SLOW_READER_MILLISECONDS);
  socket.on('data', (part: Buffer) => (length += part.length));
  socket.resume();
  await new Promise(resolve => socket.once('close', resolve));
  return length;
}

const answerLargely: EndpointAnswer = (message, response) => {
  response.writeHead(200, sealed(message));
  response.end('x'.repeat(LARGE_BYTES));
};

test('a slow reader gets all of an answer though the host closes idle connections', async t => {
  const {host} = await start(t, answerLargely);
  host.child.kill('SIGTERM');
  await wait(CLOSED_MILLISECONDS - 1_000);
  // One request in progress, so that the drain goes on meanwhile.
  const other = new KeptCaller(host.callers);
  const [length] = await Promise.all([
    readLate(host, '/read/1', true),
    other.ask({path: '/record/1', body: ['a', 'b', 'c'], bodyDelay: 600}),
  ]);
  t.true(length > LARGE_BYTES, `${length} bytes`);
  t.is(await host.ended, 0);
});

test('a slow reader gets all of an answer though no request is left in progress', async t => {
  const {host} = await start(t, answerLargely);
  host.child.kill('SIGTERM');
  await wait(CLOSED_MILLISECONDS - 1_000);
  t.true((await readLate(host, '/read/1', false)) > LARGE_BYTES);
  t.is(await host.ended, 0);
});

test('each of two pipelined requests that were passed on in a drain is answered', async t => {
  const {host, passedOn} = await start(t);
  host.child.kill('SIGTERM');
  await wait(200);
  const before = passedOn();
  const socket = connect(partsOf(host.callers));
  socket.on('error', () => {});
  let text = '';
  socket.on('data', (part: Buffer) => (text += part.toString()));
  for (const id of ['one', 'two']) {
    socket.write(
      'GET /read/1?wait=200 HTTP/1.1\r\nHost: register.example\r\n' +
        `Authorization: Bearer key\r\nX-Attempt-Id: ${id}\r\n` +
        'X-Deadline-Ms: 6000\r\n\r\n',
    );
  }
  await new Promise(resolve => socket.once('close', resolve));
  t.is(text.split('HTTP/1.1 200').length - 1, passedOn() - before);
  t.is(await host.ended, 0);
});

test('a first request on a connection that is older than the close of the port is answered or not passed on', async t => {
  const {fleet, host, passedOn} = await start(t);
  host.child.kill('SIGTERM');
  await wait(CLOSED_MILLISECONDS - 900);
  fleet.site.faults.delay = 1_000;
  const socket = connect(partsOf(host.callers));
  socket.on('error', () => {});
  let text = '';
  socket.on('data', (part: Buffer) => (text += part.toString()));
  const closed = new Promise(resolve => socket.once('close', resolve));
  await wait(1_000);
  socket.write(
    'GET /record/1?wait=1500 HTTP/1.1\r\nHost: register.example\r\n' +
      'Authorization: Bearer key\r\nX-Attempt-Id: first\r\n' +
      'X-Deadline-Ms: 6000\r\n\r\n',
  );
  await closed;
  t.is(text.split('HTTP/1.1 200').length - 1, passedOn());
  t.is(await host.ended, 0);
});
