/**
 * What ends a host process by itself, and what callers get when it does: the
 * bundled program is scraped, sends its metrics away, and meets an error that
 * nothing catches while requests are in progress.
 */
import {createSocket} from 'node:dgram';
import {Agent, request} from 'node:http';

import test, {type ExecutionContext} from 'ava';

import {freeAddress} from '../tools/ports.js';
import {
  EdgeFleet,
  until,
  type HostProcess,
  type LaunchFlags,
} from './support/edgeprocess.js';

async function startHost(
  t: ExecutionContext,
  flags: LaunchFlags,
  delay = 0,
): Promise<{fleet: EdgeFleet; host: HostProcess}> {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1', delay);
  fleet.configure(['key']);
  const host = await fleet.host('host-1', undefined, undefined, flags);
  await fleet.ready(host);
  return {fleet, host};
}

async function fetchText(url: string): Promise<[number, string]> {
  const response = await fetch(url);
  return [response.status, await response.text()];
}

test('fetching the metrics of the bundled host does not end it', async t => {
  const address = await freeAddress();
  const port = address.slice(address.lastIndexOf(':') + 1);
  const {fleet, host} = await startHost(t, {
    program: [`--metrics-port=${port}`],
  });
  await fleet.read(host, 'key');
  for (let round = 0; round < 3; round++) {
    const [status, text] = await fetchText(`http://${address}/metrics`);
    t.is(status, 200);
    t.regex(text, /arbutusslip_request_total\{.*outcome="answered".*\} 1\n/);
  }
  t.is((await fleet.read(host, 'key'))[0], 200);
  t.is(host.child.exitCode, null);
});

test('the bundled host starts and counts when it has the address of a StatsD server', async t => {
  const server = createSocket('udp4');
  const received: string[] = [];
  server.on('message', message => received.push(message.toString()));
  await new Promise<void>(resolve => {
    server.bind(0, '127.0.0.1', () => resolve());
  });
  t.teardown(() => server.close());
  const statsd = `--statsd=127.0.0.1:${server.address().port}`;
  const {fleet, host} = await startHost(t, {program: [statsd]});
  t.is((await fleet.read(host, 'key'))[0], 200);
  await until(() => received.join('\n').includes('arbutusslip.request:1|c'));
  t.is(host.child.exitCode, null);
});

/** Sends a read on a kept connection; resolves with the status, 0 for none. */
function readOn(agent: Agent, host: HostProcess): Promise<number> {
  return new Promise(resolve => {
    const sent = request(
      `http://${host.callers}/record/1`,
      {
        agent,
        method: 'POST',
        headers: {
          host: 'register.example',
          authorization: 'Bearer key',
          'x-attempt-id': `record-${Math.random()}`,
          'x-deadline-ms': '2000',
        },
      },
      message => {
        message.resume();
        message.on('end', () => resolve(message.statusCode ?? 0));
        message.on('error', () => resolve(0));
      },
    );
    sent.on('error', () => resolve(0));
    sent.end();
  });
}

test('requests on kept connections are answered when an uncaught error ends their host', async t => {
  const node = ['--import=./test/support/throwonsignal.mjs'];
  const {host, fleet} = await startHost(t, {node}, 700);
  const agent = new Agent({keepAlive: true});
  t.teardown(() => agent.destroy());
  t.is(await readOn(agent, host), 200);
  const answers = [1, 2, 3].map(() => readOn(agent, host));
  await until(() => fleet.seen.get('register-1') === 4);
  host.child.kill('SIGUSR2');
  t.deepEqual(await Promise.all(answers), [200, 200, 200]);
  t.is(await host.ended, 1);
  t.true(host.lines.some(({event}) => event === 'uncaught-error'));
});

test('a second signal to stop does not cut the requests of a draining host', async t => {
  const {host, fleet} = await startHost(t, {}, 700);
  const agent = new Agent({keepAlive: true});
  t.teardown(() => agent.destroy());
  const answer = readOn(agent, host);
  await until(() => fleet.seen.get('register-1') === 1);
  host.child.kill('SIGTERM');
  await until(() =>
    host.lines.some(({fields}) => fields['state'] === 'draining'),
  );
  host.child.kill('SIGTERM');
  t.is(await answer, 200);
  t.is(await host.ended, 0);
});
