/**
 * Answers without length or chunks that are cut, and statuses that are none, on
 * each path that reads answers besides those to callers of the platform. Guards
 * against a part that passes as the whole, and against a call that counts as
 * carried out because of an answer that is none.
 */
import {
  createServer as createHttpServer,
  request,
  type IncomingMessage,
} from 'node:http';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

import test, {type ExecutionContext} from 'ava';
import * as z from 'zod';

import {Cancellation} from '../source/cancellation/index.js';
import {SystemClock} from '../source/clock/index.js';
import type {Endpoint} from '../source/configuration/index.js';
import {HttpEndpointAdapter} from '../source/engine/index.js';
import {Refusal} from '../source/errors/index.js';
import {readWhole} from '../source/relay/index.js';
import {
  callGuarded,
  callJson,
  discardBody,
  exchangeBytes,
  readBytes,
  watchWholeness,
} from '../source/wire/index.js';
import {holdsWithin} from './support/edgeprocess.js';

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n';
const PART = '12';
const WHOLE = '123';
const BOUND_MILLISECONDS = 5_000;
const UPLOAD_BYTES = 4_194_304;
const LATE_MILLISECONDS = 30;

/** When the endpoint cuts its answer. */
const CUTS: Readonly<Record<string, (socket: Socket) => void>> = {
  'with its head': socket => {
    socket.write(HEAD + PART, () => socket.resetAndDestroy());
  },
  'after its first bytes': socket => {
    socket.write(HEAD + PART);
    setTimeout(() => socket.resetAndDestroy(), LATE_MILLISECONDS);
  },
  'in a second part': socket => {
    socket.write(HEAD);
    setTimeout(
      () => socket.write(PART, () => socket.resetAndDestroy()),
      LATE_MILLISECONDS,
    );
  },
};

const ORDER = {
  attempt: 'a-1',
  method: 'POST',
  path: '/',
  headers: {},
  priority: 1,
  newConnection: true,
};

/** Tries of each form, as when a reset comes is a matter of chance. */
const ROUNDS = 4;

const STATUSES = ['000', '099', '600', '999'];

/** An endpoint that answers each connection, once it sends, in its own way. */
async function endpoint(
  t: ExecutionContext,
  answer: (socket: Socket) => void,
): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => {
      // The rest of an upload stays unread while the answer is sent.
      socket.pause();
      answer(socket);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Sends an answer of a status that is whole otherwise. */
function answerStatus(status: string): (socket: Socket) => void {
  return socket =>
    socket.write(
      `HTTP/1.1 ${status} X\r\nContent-Length: ${WHOLE.length}\r\n\r\n${WHOLE}`,
    );
}

/** Each way to make a call; resolves with whether it was taken for answered. */
const PATHS: Readonly<
  Record<string, (address: string, body: string) => Promise<unknown>>
> = {
  'a call of bytes': (address, body) =>
    exchangeBytes({
      address,
      method: 'POST',
      path: '/',
      body: Buffer.from(body),
      bound: BOUND_MILLISECONDS,
      headers: {},
    }),
  'a call of JSON': (address, body) =>
    callJson(
      {address, method: 'POST', path: '/', body, bound: BOUND_MILLISECONDS},
      z.unknown(),
    ),
  'a duty': (address, body) =>
    callGuarded(
      {address, method: 'POST', path: '/', body, bound: BOUND_MILLISECONDS},
      () => true,
    ),
  'the own interface': async (address, body) => {
    const adapter = new HttpEndpointAdapter({
      connect: BOUND_MILLISECONDS,
      firstByte: BOUND_MILLISECONDS,
      silence: BOUND_MILLISECONDS,
    });
    const signal = new Cancellation();
    const answer = await adapter.send(
      {address} as Endpoint,
      {...ORDER, body: Buffer.from(body)},
      signal,
    );
    return readWhole(answer.body, {
      limit: UPLOAD_BYTES,
      silence: BOUND_MILLISECONDS,
      signal,
      isWhole: answer.isWhole,
    });
  },
  'an answer that is discarded': async (address, body) => {
    const message = await headOf(address, body);
    const isComplete = watchWholeness(message);
    const end = await discardBody({message, isComplete}, new SystemClock());
    if (end !== 'complete') throw new Error(end);
  },
};

/** The paths that look at the status; health checks and refusals come later. */
const PATHS_WITH_STATUS = Object.entries(PATHS).filter(
  ([name]) => name !== 'an answer that is discarded',
);

/** Sends a request on a connection of its own; resolves with the answer's head. */
function headOf(address: string, body: string): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const sent = request(`http://${address}/`, {method: 'POST', agent: false});
    sent.once('response', resolve);
    sent.on('error', reject);
    sent.end(body);
  });
}

/** Whether a call is taken for answered. */
async function isAnswered(call: Promise<unknown>): Promise<boolean> {
  try {
    await call;
    return true;
  } catch (error) {
    if (!(error instanceof Error)) throw error;
    return false;
  }
}

const UPLOADS = {
  'a small request': 'x',
  'an upload that it does not read': 'x'.repeat(UPLOAD_BYTES),
};

for (const [pathName, call] of Object.entries(PATHS)) {
  for (const [cutName, cut] of Object.entries(CUTS)) {
    for (const [uploadName, body] of Object.entries(UPLOADS)) {
      test(`${pathName}: an answer without length to ${uploadName} that is reset ${cutName} is no answer`, async t => {
        const address = await endpoint(t, cut);
        for (let round = 0; round < ROUNDS; round++)
          t.false(await isAnswered(call(address, body)));
      });
    }
  }
  test(`${pathName}: an answer without length whose connection ends is whole`, async t => {
    const address = await endpoint(t, socket => socket.end(HEAD + WHOLE));
    t.true(await isAnswered(call(address, 'x')));
  });
}

for (const [pathName, call] of PATHS_WITH_STATUS) {
  for (const status of STATUSES) {
    test(`${pathName}: an answer of status ${status} is none`, async t => {
      const address = await endpoint(t, answerStatus(status));
      for (let round = 0; round < ROUNDS; round++)
        t.false(await isAnswered(call(address, 'x')));
    });
  }
}

const UPLOAD_HEADS = {
  'a length': 'Content-Length: 9\r\n\r\n12',
  chunks: 'Transfer-Encoding: chunked\r\n\r\n2\r\n12\r\n',
};

for (const [framing, text] of Object.entries(UPLOAD_HEADS)) {
  for (const ending of ['ends', 'is reset'] as const) {
    test(`an upload with ${framing} whose connection ${ending} in the middle is refused as cut short`, async t => {
      const outcomes: unknown[] = [];
      const server = createHttpServer(message => {
        readBytes(message, UPLOAD_BYTES).then(
          body => outcomes.push(body),
          (error: unknown) => outcomes.push(error),
        );
      });
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', resolve),
      );
      t.teardown(() => server.close());
      const {port} = server.address() as AddressInfo;
      for (let round = 1; round <= ROUNDS; round++) {
        const socket = connect(port, '127.0.0.1');
        const cut = () =>
          ending === 'ends' ? socket.end() : socket.resetAndDestroy();
        socket.write(`POST / HTTP/1.1\r\nHost: x\r\n${text}`, () =>
          setTimeout(cut, LATE_MILLISECONDS),
        );
        socket.resume();
        t.true(await holdsWithin(2_000, () => outcomes.length === round));
        t.true(outcomes[round - 1] instanceof Refusal);
      }
    });
  }
}
