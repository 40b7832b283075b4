/** Bad input of every kind gets a typed answer, and the host goes on. */
import {request} from 'node:http';
import {connect} from 'node:net';

import test from 'ava';
import OpenAI, {
  AuthenticationError,
  BadRequestError,
  NotFoundError,
} from 'openai';

import {refusalBodySchema} from '../source/errors/index.js';
import {partsOf} from '../source/wire/index.js';
import {DEPLOYMENTS} from '../tools/deployments.js';
import {ask, Fleet} from '../tools/fleet.js';

let fleet: Fleet;

test.before(async () => {
  fleet = await Fleet.start(
    {...DEPLOYMENTS.consorzio, hosts: 1},
    {
      hostFlags: [
        '--body-limit-bytes=2000',
        '--request-bound-milliseconds=1500',
      ],
    },
  );
  await fleet.configure();
});

test.after.always(() => fleet?.stop());

function address(): string {
  return fleet.hosts[0]?.address ?? '';
}

function key(): string {
  return fleet.keys.get('editors') ?? '';
}

interface Reply {
  readonly status: number;
  readonly code: string;
  readonly outcome: string;
}

async function send(path: string, init: RequestInit): Promise<Reply> {
  const answer = await fetch(`http://${address()}${path}`, init);
  const {error} = refusalBodySchema.parse(await answer.json());
  return {status: answer.status, code: error.code, outcome: error.outcome};
}

function chatBody(content: string): string {
  const messages = [{role: 'user', content}];
  return JSON.stringify({model: 'phrase-suggestion', messages});
}

function authorized(init: RequestInit = {}): RequestInit {
  const headers = {
    authorization: `Bearer ${key()}`,
    ...(init.headers as object),
  };
  return {method: 'POST', body: chatBody('ciao'), ...init, headers};
}

const CHAT = '/v1/chat/completions';

/** Sends raw text and answers everything that comes back. */
function raw(text: string, to = address()): Promise<string> {
  return new Promise(resolve => {
    const socket = connect(partsOf(to));
    let answer = '';
    socket.on('data', bytes => (answer += bytes.toString()));
    socket.on('error', () => resolve(answer));
    socket.on('close', () => resolve(answer));
    socket.write(text);
  });
}

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly path: string;
  readonly init: () => RequestInit;
  readonly status: number;
  readonly code: string;
}> = [
  {
    title: 'a body that is not JSON',
    path: CHAT,
    init: () => authorized({body: '{"model":'}),
    status: 400,
    code: 'malformed-request',
  },
  {
    title: 'a body without messages',
    path: CHAT,
    init: () => authorized({body: '{"model":"phrase-suggestion"}'}),
    status: 400,
    code: 'malformed-request',
  },
  {
    title: 'a body that is too large',
    path: CHAT,
    init: () => authorized({body: chatBody('x'.repeat(3_000))}),
    status: 413,
    code: 'body-too-large',
  },
  {
    title: 'an encoded body',
    path: CHAT,
    init: () => authorized({headers: {'content-encoding': 'gzip'}}),
    status: 415,
    code: 'body-encoding',
  },
  {
    title: 'no key',
    path: CHAT,
    init: () => ({method: 'POST', body: chatBody('ciao')}),
    status: 401,
    code: 'key-missing',
  },
  {
    title: 'an unknown key',
    path: CHAT,
    init: () =>
      authorized({headers: {authorization: 'Bearer nobody-knows-it'}}),
    status: 401,
    code: 'key-unknown',
  },
  {
    title: 'an unknown model',
    path: CHAT,
    init: () =>
      authorized({
        body: JSON.stringify({model: 'x', messages: [{role: 'user'}]}),
      }),
    status: 404,
    code: 'route-unknown',
  },
  {
    title: 'an unknown path',
    path: '/nowhere',
    init: () => authorized(),
    status: 404,
    code: 'route-unknown',
  },
  {
    title: 'a path that is no URL',
    path: '//',
    init: () => authorized(),
    status: 400,
    code: 'malformed-request',
  },
  {
    title: 'a method that the route does not take',
    path: '/register/x',
    init: () => authorized({method: 'DELETE'}),
    status: 405,
    code: 'method-not-allowed',
  },
  {
    title: 'a bad idempotency key',
    path: '/register/x',
    init: () => authorized({headers: {'idempotency-key': 'two words'}}),
    status: 400,
    code: 'idempotency-key-invalid',
  },
  {
    title: 'the key in the body',
    path: CHAT,
    init: () => authorized({body: chatBody(`my key is ${key()}`)}),
    status: 400,
    code: 'key-exposed',
  },
  {
    title: 'the key in the body, escaped',
    path: CHAT,
    init: () =>
      authorized({
        body: chatBody('KEY').replace('KEY', key().replace('a', '\\u0061')),
      }),
    status: 400,
    code: 'key-exposed',
  },
  {
    title: 'the key in another header',
    path: CHAT,
    init: () => authorized({headers: {'x-api-key': key()}}),
    status: 400,
    code: 'key-exposed',
  },
  {
    title: 'the key in a cookie',
    path: CHAT,
    init: () => authorized({headers: {cookie: `session=${key()}`}}),
    status: 400,
    code: 'key-exposed',
  },
];

for (const {title, path, init, status, code} of CASES) {
  test(`${title} is refused`, async t => {
    const reply = await send(path, init());
    t.deepEqual(reply, {status, code, outcome: 'not-run'});
  });
}

test('the key in the query is refused, percent-encoded or not', async t => {
  const encoded = [...key()]
    .map(letter => `%${letter.charCodeAt(0).toString(16)}`)
    .join('');
  for (const text of [key(), encoded]) {
    const {code} = await send(`/register/x?k=${text}`, authorized());
    t.is(code, 'key-exposed');
  }
});

test('the key in a trailer is refused', async t => {
  const code = await new Promise<string>((resolve, reject) => {
    const {host, port} = partsOf(address());
    const outgoing = request(
      {
        host,
        port,
        path: CHAT,
        method: 'POST',
        headers: {
          authorization: `Bearer ${key()}`,
          trailer: 'x-note',
          'transfer-encoding': 'chunked',
        },
      },
      answer => {
        let text = '';
        answer.on('data', (part: Buffer) => (text += part.toString()));
        answer.on('end', () =>
          resolve(refusalBodySchema.parse(JSON.parse(text)).error.code),
        );
      },
    );
    outgoing.on('error', reject);
    outgoing.write(chatBody('ciao'));
    outgoing.addTrailers({'x-note': key()});
    outgoing.end();
  });
  t.is(code, 'key-exposed');
});

test('malformed and oversized heads get a typed answer', async t => {
  t.regex(await raw('nonsense\r\n\r\n'), /400 .*malformed-request/s);
  const long = `GET / HTTP/1.1\r\nhost: x\r\nx-long: ${'y'.repeat(20_000)}\r\n\r\n`;
  t.regex(await raw(long), /413 .*body-too-large/s);
  const doubled =
    'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n' +
    'content-length: 3\r\ntransfer-encoding: chunked\r\n\r\nabc';
  t.regex(await raw(doubled), /400 .*malformed-request/s);
});

test('a sender that never ends is cut off', async t => {
  const head =
    'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\n{';
  t.regex(await raw(head), /4\d\d /);
});

test('a head that comes in single bytes is served', async t => {
  const body = chatBody('ciao');
  const text =
    `POST ${CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${key()}\r\n` +
    `connection: close\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
  const answer = await new Promise<string>(resolve => {
    const socket = connect({...partsOf(address()), noDelay: true});
    let received = '';
    socket.on('data', bytes => (received += bytes.toString()));
    socket.on('close', () => resolve(received));
    for (const letter of text) socket.write(letter);
  });
  t.regex(answer, /200 OK/);
});

test('malformed records and frames are counted and passed over', async t => {
  const {operators} = fleet.hosts[0] ?? {operators: ''};
  await ask(fleet.platform.address, 'POST', '/log', [
    {kind: 'nonsense'},
    {kind: 'release-note', note: {id: 'bad', added: {teams: [{name: 'A B'}]}}},
    17,
  ]);
  const peers = fleet.hosts[0]?.process.spawnargs
    .find(flag => flag.startsWith('--peers='))
    ?.slice('--peers='.length);
  await raw('\x00\x00\x00\x05hello, I am not TLS', peers);
  await fleet.applied(3);
  const status = (await ask(operators, 'GET', '/status')) as {
    malformed: number;
  };
  t.true(status.malformed >= 3);
  const answer = await fetch(
    `http://${address()}/register/x`,
    authorized({method: 'GET', body: null}),
  );
  t.is(answer.status, 200);
});

test('the stock client sees its own error classes', async t => {
  const baseURL = `http://${address()}/v1`;
  const client = new OpenAI({apiKey: key(), baseURL, maxRetries: 0});
  const stranger = new OpenAI({apiKey: 'nobody-knows', baseURL, maxRetries: 0});
  const messages = [{role: 'user' as const, content: 'ciao'}];
  const model = 'phrase-suggestion';
  await t.throwsAsync(stranger.chat.completions.create({model, messages}), {
    instanceOf: AuthenticationError,
  });
  await t.throwsAsync(client.chat.completions.create({model: 'x', messages}), {
    instanceOf: NotFoundError,
  });
  await t.throwsAsync(client.chat.completions.create({model, messages: []}), {
    instanceOf: BadRequestError,
  });
});

/** What the drafting engines have done so far, added up. */
async function drafted(): Promise<{open: number; cancelled: number}> {
  const sums = {open: 0, cancelled: 0};
  for (const [name, {address: at}] of fleet.endpoints) {
    if (!name.startsWith('drafting')) continue;
    const ledger = (await ask(at, 'GET', '/ledger')) as Drafted;
    sums.open += ledger.started - ledger.finished - ledger.cancelled;
    sums.cancelled += ledger.cancelled;
  }
  return sums;
}

interface Drafted {
  readonly started: number;
  readonly finished: number;
  readonly cancelled: number;
}

/** Streams to abort; some are so short that they end before they can be. */
const ABORTED_STREAMS = 12;

test('an aborted stream is cancelled at its engine', async t => {
  const client = new OpenAI({
    apiKey: key(),
    baseURL: `http://${address()}/v1`,
    maxRetries: 0,
  });
  const before = await drafted();
  for (let count = 0; count < ABORTED_STREAMS; count++) {
    const stream = await client.chat.completions.create({
      model: 'glossary-drafting',
      stream: true,
      messages: [{role: 'user', content: `a long draft ${count}`}],
    });
    for await (const chunk of stream) {
      t.truthy(chunk.id);
      stream.controller.abort();
    }
  }
  let after = await drafted();
  while (after.open > before.open) after = await drafted();
  t.true(after.cancelled > before.cancelled);
});
