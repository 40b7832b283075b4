/**
 * Answers with neither a length nor chunks, which end with their connection. Guards
 * against a part that looks like a whole answer since its endpoint was killed.
 */
import {spawn} from 'node:child_process';
import {request} from 'node:http';
import {connect} from 'node:net';

import test, {type ExecutionContext} from 'ava';

import {PlatformProtocol} from '../platform/protocol.js';
import {SystemClock} from '../source/clock/index.js';
import {StartReports} from '../source/edge/startreports.js';
import {BareEndpoint, EVENTS} from './support/bareendpoint.js';
import {EdgeFleet, until, type HostProcess} from './support/edgeprocess.js';
import {createEndpoint} from './support/forwarding.js';
import {SILENT} from './support/silent.js';

/** What the caller got. */
interface Reply {
  readonly status: number;
  readonly text: string;
  readonly isWhole: boolean;
}

function ask(host: HostProcess, path: string): Promise<Reply> {
  return new Promise(resolve => {
    const failed = () => resolve({status: 0, text: '', isWhole: false});
    const sent = request(
      `http://${host.callers}${path}`,
      {
        agent: false,
        method: 'POST',
        headers: {
          host: 'register.example',
          authorization: 'Bearer key',
          'x-attempt-id': 'caller',
          'x-deadline-ms': '1900',
        },
      },
      message => {
        let text = '';
        message.on('data', (part: Buffer) => (text += part.toString()));
        message.on('error', () => {});
        message.on('close', () => {
          const {statusCode: status = 0, complete: isWhole} = message;
          resolve({status, text, isWhole});
        });
      },
    );
    sent.on('error', failed);
    sent.end('prompt');
  });
}

async function startHost(t: ExecutionContext) {
  const fleet = await EdgeFleet.start(t);
  fleet.configure(['key']);
  const start = async (endpoint: BareEndpoint, state?: string) => {
    t.teardown(() => endpoint.stop());
    await endpoint.start(state);
  };
  const host = async () => {
    const process = await fleet.host('host-0');
    await fleet.ready(process);
    return process;
  };
  return {fleet, start, host};
}

function idsOf(text: string): number[] {
  return [...text.matchAll(/id: (\d+)\n/g)].map(([, id]) => Number(id));
}

const ALL = Array.from({length: EVENTS}, (_, index) => index + 1);

test('a stream whose endpoint is killed between two events goes on at another one', async t => {
  const {fleet, start, host} = await startHost(t);
  const dying = new BareEndpoint('a', fleet, 'crashes after two events');
  await start(dying);
  const process = await host();
  const asked = ask(process, '/draft/1');
  await start(new BareEndpoint('b', fleet, 'closes'));
  const reply = await asked;
  t.deepEqual(idsOf(reply.text), ALL);
  t.true(reply.isWhole);
  t.regex(reply.text, /data: a\n\nid: 3\ndata: b/);
});

test('a stream whose only endpoint is killed does not look whole', async t => {
  const {fleet, start, host} = await startHost(t);
  await start(new BareEndpoint('a', fleet, 'crashes after two events'));
  const reply = await ask(await host(), '/draft/1');
  t.deepEqual(idsOf(reply.text), [1, 2]);
  t.false(reply.isWhole);
});

for (const [reports, kind] of [
  [true, 'reports'],
  [false, 'has no report'],
] as const)
  test(`a stream that ends with its connection is whole if its endpoint lives on, which ${kind}`, async t => {
    const {fleet, start, host} = await startHost(t);
    await start(new BareEndpoint('a', fleet, 'closes', reports));
    const reply = await ask(await host(), '/draft/1');
    t.deepEqual(idsOf(reply.text), ALL);
    t.true(reply.isWhole);
  });

test('a stream is whole if its endpoint was known to leave and exits with it', async t => {
  const {fleet, start, host} = await startHost(t);
  const leaving = new BareEndpoint('a', fleet, 'closes and exits');
  await start(leaving);
  const process = await host();
  // An endpoint serves on for seconds after it has said that it leaves.
  const knowsIt = () =>
    process.lines.some(
      ({event, fields}) =>
        event === 'endpoint' && fields['state'] === 'leaving',
    );
  leaving.mayEnd = until(knowsIt);
  const asked = ask(process, '/draft/1');
  await leaving.asked;
  fleet.enter('a', fleet.addresses.get('a') ?? '', 'draining', 'v1', 2);
  const reply = await asked;
  t.deepEqual(idsOf(reply.text), ALL);
  t.true(reply.isWhole);
});

test('a stream is whole if its head says that the endpoint leaves, which exits with it', async t => {
  const {fleet, start, host} = await startHost(t);
  await start(new BareEndpoint('a', fleet, 'says it leaves'));
  const reply = await ask(await host(), '/draft/1');
  t.deepEqual(idsOf(reply.text), ALL);
  t.true(reply.isWhole);
});

test('a part of an answer that is no stream is not passed on, and repeated where it may be', async t => {
  const {fleet, start, host} = await startHost(t);
  await start(new BareEndpoint('a', fleet, 'crashes after two events'));
  const process = await host();
  const once = await ask(process, '/record/1');
  t.not(once.status, 200);
  const again = new BareEndpoint('b', fleet, 'crashes after two events');
  await start(again);
  const asked = ask(process, '/read/1');
  await start(new BareEndpoint('c', fleet, 'closes'));
  const reply = await asked;
  t.is(reply.status, 200);
  t.deepEqual(idsOf(reply.text), ALL);
});

/** A process that listens and is then stopped, with its queue of connections full. */
async function stoppedEndpoint(t: ExecutionContext): Promise<string> {
  const program =
    "require('node:net').createServer().listen({port: 0, host: '127.0.0.1', " +
    'backlog: 1}, function () { console.log(this.address().port); });';
  const child = spawn(process.execPath, ['-e', program], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  t.teardown(() => child.kill('SIGKILL'));
  const port = await new Promise<number>(resolve => {
    child.stdout.once('data', bytes => resolve(Number(bytes)));
  });
  child.kill('SIGSTOP');
  const fillers = Array.from({length: 8}, () =>
    connect({port, host: '127.0.0.1'}).on('error', () => {}),
  );
  t.teardown(() => fillers.forEach(socket => socket.destroy()));
  await new Promise(resolve => setTimeout(resolve, 100));
  return `127.0.0.1:${port}`;
}

test('an endpoint that is too busy to accept a connection has not crashed', async t => {
  const endpoint = createEndpoint('engine-0', await stoppedEndpoint(t));
  const reports = new StartReports({
    protocol: new PlatformProtocol(),
    clock: new SystemClock(),
    logger: SILENT,
    directory: () => new Map([['engine-0', endpoint]]),
  });
  t.is(await reports.stateOf(endpoint.entry), 'unreachable');
  t.false(await reports.hasCrashed(endpoint.entry));
});
