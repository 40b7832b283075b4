/**
 * A host process that is told to stop, and callers whose requests are complete at
 * any moment until it ends: short and long ones, streams, and some that may run
 * only once.
 */
import {connect} from 'node:net';

import test, {type ExecutionContext} from 'ava';

import {partsOf} from '../source/wire/index.js';
import {
  EdgeFleet,
  sealed,
  type EndpointAnswer,
  type HostProcess,
} from './support/edgeprocess.js';
import {KeptCaller} from './support/keptcaller.js';

const GRACE_SECONDS = 7;
/** Time after the signal at which the last request is complete. */
const LAST_MILLISECONDS = 6_200;
const INTERVAL_MILLISECONDS = 100;
/** Time after the signal at which the last connection is opened. */
const LAST_CONNECTION_MILLISECONDS = 2_200;
const RECORD_MILLISECONDS = 900;
const EVENTS = 5;
const EVENT_MILLISECONDS = 350;
const WARM_UP_REQUESTS = 8;

/** One kind of request that is sent. */
interface RequestKind {
  readonly path: string;
  readonly isStream: boolean;
}

const KINDS: readonly RequestKind[] = [
  {path: '/read/1', isStream: false},
  {path: '/record/1', isStream: false},
  {path: '/draft/1', isStream: true},
];

/** How a request ended that was complete some time after the signal. */
interface Ended {
  readonly id: string;
  readonly path: string;
  readonly completeAt: number;
  readonly status: number;
  readonly whole: boolean;
}

const wait = (duration: number) =>
  new Promise<void>(resolve => setTimeout(resolve, duration));

/** Answers reads at once, records and streams after a while; notes who ran. */
function answerWith(ran: Set<string>): EndpointAnswer {
  return (message, response) => {
    if (message.url !== '/health')
      ran.add(String(message.headers['x-attempt-id']));
    response.writeHead(200, sealed(message));
    if (!message.url?.startsWith('/draft/')) {
      const delay = message.url === '/record/1' ? RECORD_MILLISECONDS : 10;
      setTimeout(() => response.end('done'), delay);
      return;
    }
    let event = 0;
    const next = () => {
      if (response.destroyed) return;
      if (++event > EVENTS) return void response.end();
      response.write(`id: ${event}\ndata: text\n\n`);
      setTimeout(next, EVENT_MILLISECONDS);
    };
    next();
  };
}

/** Opens a connection, and completes its request at a time after the signal. */
function sendLate(
  host: HostProcess,
  {path}: RequestKind,
  id: string,
  signalAt: number,
  completeAt: number,
): Promise<Ended> {
  return new Promise(resolve => {
    const socket = connect(partsOf(host.callers));
    let text = '';
    socket.write(
      `POST ${path} HTTP/1.1\r\nHost: register.example\r\n` +
        `Authorization: Bearer key\r\nX-Attempt-Id: ${id}\r\n` +
        'X-Deadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nhe',
    );
    setTimeout(
      () => socket.write('ad'),
      signalAt + completeAt - performance.now(),
    );
    socket.on('data', bytes => (text += bytes.toString()));
    socket.on('error', () => {});
    socket.on('close', () => {
      const status = Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0);
      resolve({id, path, completeAt, status, whole: isWhole(text)});
    });
  });
}

/** Whether a response with a length or in chunks has come to its end. */
function isWhole(text: string): boolean {
  const [head = '', ...rest] = text.split('\r\n\r\n');
  const body = rest.join('\r\n\r\n');
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  if (length !== undefined) return body.length === Number(length);
  return body.endsWith('0\r\n\r\n') || body.endsWith('0\r\n');
}

/** Starts a host and lets it see how long each kind of request takes. */
async function start(t: ExecutionContext, ran: Set<string>) {
  const fleet = await EdgeFleet.start(t);
  fleet.graceSeconds = GRACE_SECONDS;
  fleet.routeTimeoutMilliseconds = 6_000;
  fleet.configure(['key']);
  for (let number = 1; number <= 8; number++)
    await fleet.endpoint(`register-${number}`, answerWith(ran));
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  await Promise.all(
    KINDS.flatMap(({path}) =>
      Array.from({length: WARM_UP_REQUESTS}, async () => {
        const caller = new KeptCaller(host.callers);
        await caller.ask({path, method: 'POST', body: ['head']});
        caller.stop();
      }),
    ),
  );
  return host;
}

test('requests that come late in the grace of a planned stop are passed on and cut', async t => {
  const ran = new Set<string>();
  const host = await start(t, ran);
  host.child.kill('SIGTERM');
  const signalAt = performance.now();
  const all: Array<Promise<Ended>> = [];
  const count = LAST_MILLISECONDS / INTERVAL_MILLISECONDS;
  for (let number = 0; number < count; number++) {
    const completeAt = number * INTERVAL_MILLISECONDS;
    const share = completeAt / LAST_MILLISECONDS;
    const openAt = Math.min(completeAt, share * LAST_CONNECTION_MILLISECONDS);
    await wait(Math.max(signalAt + openAt - performance.now(), 0));
    for (const kind of KINDS) {
      const id = `late-${number}${kind.path}`;
      all.push(sendLate(host, kind, id, signalAt, completeAt));
    }
  }
  const ended = await Promise.all(all);
  t.is(await host.ended, 0);
  const seen = ended.map(
    ({path, completeAt, status, whole}) =>
      `${path} at ${completeAt}: ${status} ${whole ? 'whole' : 'cut'}`,
  );
  const cut = ended.filter(({id, whole}) => ran.has(id) && !whole);
  t.is(cut.length, 0, cut.map(({id, status}) => `${id} ${status}`).join(', '));
  const untrue = ended.filter(({id, status}) => status === 503 && ran.has(id));
  t.is(untrue.length, 0, untrue.map(({id}) => id).join(', '));
  const abandoned = ended.filter(
    ({id, path, status}) =>
      path === '/record/1' && ran.has(id) && status !== 200,
  );
  t.is(abandoned.length, 0, abandoned.map(({id}) => id).join(', '));
  const served = ended.filter(({status, whole}) => status === 200 && whole);
  t.true(served.length > ended.length / 2, seen.join('\n'));
});
