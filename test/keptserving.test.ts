/**
 * Requests on kept connections to host processes whose surroundings fail: the
 * settings file, the reader of the log, the sockets, callers or endpoints. The
 * host serves on, and a request that was passed on gets an answer.
 */
import {writeFileSync, rmSync} from 'node:fs';
import {connect} from 'node:net';

import test from 'ava';

import {partsOf} from '../source/wire/index.js';
import {sealed, statusOf, until} from './support/edgeprocess.js';
import {KeptCaller, type KeptAnswer} from './support/keptcaller.js';
import {answerAfterWait, isAnswered, start, wait} from './support/keptscene.js';

test('a request in progress is answered though the settings file becomes invalid', async t => {
  const {host, caller} = await start(t);
  const kept = await caller();
  const answer = kept.ask({path: '/record/1?wait=3200'});
  const reloads = () =>
    host.lines.filter(({event}) => event === 'reload').length;
  const files = ['{', 'null', '[]', '{"nodeId":7}', '"text"', ''];
  for (const [index, file] of files.entries()) {
    writeFileSync(host.settings, file);
    host.child.kill('SIGHUP');
    await until(() => reloads() > index || host.child.exitCode !== null);
  }
  rmSync(host.settings);
  host.child.kill('SIGHUP');
  await until(() => reloads() > files.length || host.child.exitCode !== null);
  isAnswered(t, await answer);
  host.child.kill('SIGTERM');
  t.is(await host.ended, 0);
});

test('requests on kept connections are answered after a pause longer than their idle timeout', async t => {
  const {host, callers, noneIsLost} = await start(t, answerAfterWait, fleet => {
    fleet.idleTimeoutMilliseconds = 1_000;
  });
  const kept = await callers(10);
  host.child.kill('SIGSTOP');
  const answers = kept.map(one => one.ask({path: '/read/1?wait=50'}));
  await wait(1_300);
  host.child.kill('SIGCONT');
  const got = await Promise.all(answers);
  t.true(got.some(({status}) => status === 200));
  noneIsLost(got);
  t.is(await statusOf(host.readiness, '/'), 200);
});

test('requests that arrive as their kept connection becomes idle too long are answered or not passed on', async t => {
  const {callers, noneIsLost} = await start(t, answerAfterWait, fleet => {
    fleet.idleTimeoutMilliseconds = 400;
  });
  const kept = await callers(40);
  const answers: KeptAnswer[] = [];
  await Promise.all(
    kept.map(async (one, index) => {
      for (let round = 0; round < 6; round++) {
        await wait(390 + index / 2);
        answers.push(await one.ask({path: '/read/1?wait=20'}));
      }
    }),
  );
  t.true(answers.some(({status}) => status === 200));
  noneIsLost(answers);
});

test('a host serves on and drains though nobody reads its log any more', async t => {
  const {host, caller} = await start(t);
  const kept = await caller();
  host.child.stdout?.destroy();
  host.child.stderr?.destroy();
  for (let round = 0; round < 50; round++) {
    t.is((await kept.ask({path: '/read/1'})).status, 200);
  }
  const answer = kept.ask({path: '/record/1?wait=1000'});
  await wait(200);
  host.child.kill('SIGTERM');
  isAnswered(t, await answer);
  t.is(await host.ended, 0);
});

test('a host exits after its drain though the reader of its log has stalled', async t => {
  const {host, caller} = await start(t);
  const kept = await caller();
  host.child.stdout?.pause();
  const began = performance.now();
  while (performance.now() - began < 3_000) {
    t.is((await kept.ask({path: '/read/1'})).status, 200);
  }
  const answer = kept.ask({path: '/record/1?wait=1000'});
  await wait(200);
  host.child.kill('SIGTERM');
  isAnswered(t, await answer);
  const code = await Promise.race([host.ended, wait(8_000).then(() => 'runs')]);
  t.is(code, 0);
});

test('callers that reset their connections end no host', async t => {
  const {host, caller, passedOn} = await start(t);
  const kept = await caller();
  const before = passedOn();
  for (let round = 0; round < 30; round++) {
    const socket = connect(partsOf(host.callers));
    socket.on('error', () => {});
    socket.write(
      'GET /draft/1?wait=50 HTTP/1.1\r\nHost: register.example\r\n' +
        `Authorization: Bearer key\r\nX-Attempt-Id: reset-${round}\r\n\r\n`,
    );
    await wait(round * 3);
    socket.resetAndDestroy();
  }
  t.true(passedOn() > before);
  isAnswered(t, await kept.ask({path: '/read/1'}));
});

test('a host that runs out of sockets answers what it has passed on and serves again', async t => {
  const {host, noneIsLost} = await start(t, answerAfterWait, fleet => {
    fleet.openFilesLimit = 64;
  });
  const callers = Array.from({length: 150}, () => new KeptCaller(host.callers));
  const answers = await Promise.all(
    callers.map(kept => kept.ask({path: '/record/1?wait=100', method: 'POST'})),
  );
  const served = answers.filter(({status}) => status === 200).length;
  t.true(served < callers.length);
  noneIsLost(answers);
  for (const kept of callers) kept.stop();
  await until(async () => (await statusOf(host.readiness, '/')) === 200);
  t.is(host.child.exitCode, null);
});

for (const status of ['000', '099']) {
  test(`an endpoint that answers a stream with status ${status} ends no host`, async t => {
    const {host, caller} = await start(t, (message, response) => {
      if (!message.url?.startsWith('/draft/'))
        return answerAfterWait(message, response);
      const head = Object.entries(sealed(message)).map(
        ([name, value]) => `${name}: ${value}\r\n`,
      );
      response.socket?.end(
        `HTTP/1.1 ${status} Odd\r\n${head.join('')}\r\nid: 1\ndata: 1\n\n`,
      );
    });
    const kept = await caller();
    const other = kept.ask({path: '/record/1?wait=500'});
    const stream = new KeptCaller(host.callers);
    t.is((await stream.ask({path: '/draft/1'})).status, 502);
    isAnswered(t, await other);
    await wait(200);
    t.is(await statusOf(host.readiness, '/'), 200);
    t.false(host.lines.some(({event}) => event === 'uncaught-error'));
  });
}
