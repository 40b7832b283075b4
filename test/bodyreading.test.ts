/** Bodies that are read in steps, given up, or refused while they still come. */
import {createServer} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';

import test, {type ExecutionContext} from 'ava';

import {Cancellation} from '../source/cancellation/index.js';
import {
  partsOf,
  readBytes,
  type BodyReadingOptions,
} from '../source/wire/index.js';
import {ForwarderFixture, respondWith} from './support/forwarding.js';

const LIMIT = 300_000;
const STEP = 65_535;

/** Sends a body to a server that reads it; the result is the body or the error. */
async function readThrough(
  t: ExecutionContext,
  options: BodyReadingOptions,
  send: (socket: Socket) => void,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const server = createServer((message, response) => {
      readBytes(message, LIMIT, options).then(resolve, reject);
      response.on('error', () => {});
    });
    t.teardown(() => {
      server.closeAllConnections();
      server.close();
    });
    server.listen(0, '127.0.0.1', () => {
      const {port} = server.address() as AddressInfo;
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => {});
      send(socket);
    });
  });
}

function sendChunked(body: string): (socket: Socket) => void {
  return socket => {
    socket.write(
      'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n',
    );
    const chunks = body.match(/.{1,5000}/g) ?? [];
    for (const chunk of chunks)
      socket.write(`${chunk.length.toString(16)}\r\n${chunk}\r\n`);
    socket.write('0\r\n\r\n');
  };
}

/** A text in which each place can be told from the others. */
function textOf(length: number): string {
  return Array.from({length}, (_, index) => (index * 7) % 10).join('');
}

for (const length of [0, 1, STEP, STEP + 1, 120_000, 299_999, LIMIT]) {
  test(`a chunked body of ${length} bytes arrives whole, and waits once it is large`, async t => {
    const text = textOf(length);
    let passes = 0;
    const pass = async () => {
      passes++;
      await new Promise(resolve => setTimeout(resolve, 50));
    };
    const step = {bytes: STEP, pass};
    const body = await readThrough(t, {step}, sendChunked(text));
    t.is(body.toString(), text);
    t.is(passes, length > STEP ? 1 : 0);
  });
}

test('a body of a known length is put together in one buffer of that length', async t => {
  const text = textOf(100_000);
  const body = await readThrough(t, {length: text.length}, socket =>
    socket.write(
      `POST / HTTP/1.1\r\nhost: x\r\ncontent-length: ${text.length}\r\n\r\n${text}`,
    ),
  );
  t.is(body.toString(), text);
  t.is(body.buffer.byteLength, text.length);
});

test('a body that gets no room fails as the wait for it does', async t => {
  const step = {
    bytes: STEP,
    pass: () => Promise.reject(new Error('no room')),
  };
  await t.throwsAsync(readThrough(t, {step}, sendChunked(textOf(200_000))), {
    message: 'no room',
  });
});

test('the rest of a body that is given up is dropped', async t => {
  const signal = new Cancellation();
  const ended = new Promise<void>(resolve => {
    const server = createServer((message, response) => {
      void readBytes(message, LIMIT, {signal});
      signal.abort();
      message.on('end', () => {
        response.end();
        resolve();
      });
    });
    t.teardown(() => {
      server.closeAllConnections();
      server.close();
    });
    server.listen(0, '127.0.0.1', () => {
      const {port} = server.address() as AddressInfo;
      const socket = connect(port, '127.0.0.1');
      sendChunked(textOf(200_000))(socket);
    });
  });
  await t.notThrowsAsync(ended);
});

test('a caller that reads only once its body is sent gets the refusal', async t => {
  const fixture = await ForwarderFixture.start(t, {}, [
    respondWith(200, 'done'),
  ]);
  const body = Buffer.alloc(8_000_000, 'x');
  const text = await new Promise<string>(resolve => {
    let received = '';
    const socket = connect(partsOf(fixture.callers));
    socket.pause();
    socket.write(
      'POST /drafts/new HTTP/1.1\r\nhost: phrases.example\r\n' +
        'authorization: Bearer key-of-editors\r\nconnection: close\r\n' +
        `content-length: ${body.length}\r\n\r\n`,
    );
    // The refusal comes before the rest is sent.
    setTimeout(() => socket.write(body, () => socket.resume()), 100);
    socket.on('error', () => {});
    socket.on('data', bytes => (received += bytes.toString()));
    socket.on('close', () => resolve(received));
  });
  t.regex(text, /^HTTP\/1.1 413 [^]*body-too-large/);
});
