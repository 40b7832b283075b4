/**
 * Endpoints of the own interface that write an earlier answer once more on a
 * kept connection. Taken for the answer to the next request, a refusal tells its
 * caller that it has not run, and an answer goes to the wrong caller.
 */
import {createServer, type AddressInfo, type Socket} from 'node:net';

import test, {type ExecutionContext} from 'ava';

import {Cancellation} from '../source/cancellation/index.js';
import {endpointSchema, type Endpoint} from '../source/configuration/index.js';
import {HttpEndpointAdapter, type Answer} from '../source/engine/index.js';
import {WireError} from '../source/errors/index.js';

const BOUNDS = {connect: 1_000, firstByte: 2_000, silence: 2_000};

function answerText(status: number, headers: readonly string[]): string {
  const lines = headers.map(header => `${header}\r\n`).join('');
  return `HTTP/1.1 ${status} Any\r\ncontent-length: 0\r\n${lines}\r\n`;
}

/** An endpoint that answers each request, in order, with a text. */
async function startEndpoint(
  t: ExecutionContext,
  texts: readonly string[],
  onConnection: (socket: Socket) => void,
): Promise<Endpoint> {
  let count = 0;
  const server = createServer(socket => {
    onConnection(socket);
    socket.on('error', () => {});
    socket.on('data', () => socket.write(texts[count++] ?? ''));
  });
  t.teardown(() => server.close());
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  return endpointSchema.parse({
    name: 'engine-1',
    zone: 'palermo',
    address: `127.0.0.1:${port}`,
    pool: 'drafting',
    kind: 'service',
    slots: 1,
  });
}

function send(
  adapter: HttpEndpointAdapter,
  endpoint: Endpoint,
  attempt: string,
): Promise<Answer> {
  const order = {
    attempt,
    method: 'GET',
    path: '/',
    headers: {},
    body: Buffer.alloc(0),
    priority: 1,
    newConnection: false,
  };
  return adapter.send(endpoint, order, new Cancellation());
}

async function sendAndFinish(
  adapter: HttpEndpointAdapter,
  endpoint: Endpoint,
  attempt: string,
): Promise<Answer> {
  const answer = await send(adapter, endpoint, attempt);
  answer.body.resume();
  await new Promise(resolve => answer.body.once('close', resolve));
  return answer;
}

const REPEATED = [
  {what: 'a refusal of another attempt', status: 503, named: 'a', notRun: true},
  {what: 'a refusal without a name', status: 503, named: '', notRun: true},
  {
    what: 'an answer to another attempt',
    status: 200,
    named: 'a',
    notRun: false,
  },
];

for (const {what, status, named, notRun} of REPEATED) {
  test(`${what} that comes once more on a kept connection is not taken for the answer to the next request`, async t => {
    const headers = [
      ...(named === '' ? [] : [`x-attempt: ${named}`]),
      ...(notRun ? ['x-not-run: true'] : []),
    ];
    const sockets: Socket[] = [];
    const endpoint = await startEndpoint(
      t,
      [answerText(200, ['x-attempt: a']), answerText(status, headers)],
      socket => sockets.push(socket),
    );
    const adapter = new HttpEndpointAdapter(BOUNDS);
    await sendAndFinish(adapter, endpoint, 'a');
    const error = await t.throwsAsync(send(adapter, endpoint, 'b'), {
      instanceOf: WireError,
    });
    t.is(error?.stage, 'malformed');
    t.is(sockets.length, 1);
    while (!sockets[0]?.destroyed)
      await new Promise(done => setTimeout(done, 5));
  });
}

test('bytes that come between two requests close the kept connection', async t => {
  const sockets: Socket[] = [];
  const endpoint = await startEndpoint(
    t,
    [answerText(200, ['x-attempt: a']), answerText(200, ['x-attempt: b'])],
    socket => sockets.push(socket),
  );
  const adapter = new HttpEndpointAdapter(BOUNDS);
  await sendAndFinish(adapter, endpoint, 'a');
  const [first] = sockets;
  first?.write(answerText(503, ['x-not-run: true']));
  await new Promise(done => setTimeout(done, 30));
  const answer = await sendAndFinish(adapter, endpoint, 'b');
  t.is(answer.status, 200);
  t.is(sockets.length, 2);
});
