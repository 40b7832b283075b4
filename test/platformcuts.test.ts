/**
 * Answers without length that an endpoint cuts while it does not read the upload,
 * and statuses that are none, on the users' platform. Guards against a caller who
 * gets a part of an answer, or such a status, as an answer.
 */
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

import test from 'ava';

import {partsOf} from '../source/wire/index.js';
import {EdgeFleet, type HostProcess} from './support/edgeprocess.js';

const SEALED = 'X-Attempt-Id: reader\r\nX-Response-Seal: seal\r\n';
const HEAD = `HTTP/1.1 200 OK\r\n${SEALED}`;
const STREAM = 'Content-Type: text/event-stream\r\n';
const EVENT = 'id: 1\ndata: one\n\n';
const LARGE_PART = 'x'.repeat(200_000);
const UPLOAD_BYTES = 4_194_304 - 1;
/** Tries of each form, as when a reset comes is a matter of chance. */
const ROUNDS = 4;

/** Cuts an answer some milliseconds after it was written. */
const cutAfter = (milliseconds: number, text: string) => (socket: Socket) => {
  socket.write(text);
  setTimeout(() => socket.resetAndDestroy(), milliseconds);
};

const cutWith = (text: string) => (socket: Socket) => {
  socket.write(text, () => socket.resetAndDestroy());
};

interface Form {
  readonly answer: (socket: Socket) => void;
  readonly path?: string;
  readonly upload?: number;
}

const statusHead = (status: string) =>
  `HTTP/1.1 ${status} X\r\n${SEALED}Content-Length: 2\r\n\r\nok`;

const STATUSES = ['000', '099', '101', '600', '999', '1000'];

const FORMS: Readonly<Record<string, Form>> = {
  'cut at once': {answer: cutWith(`${HEAD}\r\npart`)},
  'cut after 30 ms': {answer: cutAfter(30, `${HEAD}\r\npart`)},
  'cut after 600 ms': {answer: cutAfter(600, `${HEAD}\r\npart`)},
  'cut at once in an upload': {
    answer: cutWith(`${HEAD}\r\npart`),
    upload: UPLOAD_BYTES,
  },
  'cut after 30 ms in an upload': {
    answer: cutAfter(30, `${HEAD}\r\npart`),
    upload: UPLOAD_BYTES,
  },
  'cut with Connection: close': {
    answer: cutWith(`${HEAD}Connection: close\r\n\r\npart`),
  },
  'cut with Transfer-Encoding: identity': {
    answer: cutWith(`${HEAD}Transfer-Encoding: identity\r\n\r\npart`),
  },
  'cut behind a large part': {answer: cutAfter(30, `${HEAD}\r\n${LARGE_PART}`)},
  'cut as a stream': {
    answer: cutWith(`${HEAD}${STREAM}\r\n${EVENT}`),
    path: '/draft/1',
  },
  'cut as a stream after 30 ms': {
    answer: cutAfter(30, `${HEAD}${STREAM}\r\n${EVENT}`),
    path: '/draft/1',
  },
  ...Object.fromEntries(
    STATUSES.map(status => [
      `of status ${status}`,
      {answer: (socket: Socket) => void socket.write(statusHead(status))},
    ]),
  ),
};
/** Sends a request on a connection of its own; all bytes that come back. */
function exchange(
  host: HostProcess,
  path: string,
  uploadBytes: number,
): Promise<string> {
  return new Promise(resolve => {
    const socket = connect(partsOf(host.callers));
    let text = '';
    socket.on('data', part => (text += part.toString()));
    socket.on('error', () => {});
    socket.on('close', () => resolve(text));
    socket.write(
      `POST ${path} HTTP/1.1\r\nHost: register.example\r\n` +
        'Authorization: Bearer key\r\nX-Attempt-Id: reader\r\n' +
        'X-Deadline-Ms: 2000\r\nConnection: close\r\n' +
        `Content-Length: ${uploadBytes}\r\n\r\n`,
    );
    socket.write('x'.repeat(uploadBytes));
  });
}

/** Whether a caller would take what has come for a complete answer of success. */
function looksWhole(text: string): boolean {
  if (!text.startsWith('HTTP/1.1 2')) return false;
  return (
    !/transfer-encoding: chunked/i.test(text) || text.endsWith('0\r\n\r\n')
  );
}

for (const [name, form] of Object.entries(FORMS)) {
  test(`an answer ${name} is passed on neither as whole nor with a status that is none`, async t => {
    const fleet = await EdgeFleet.start(t);
    let answers = 0;
    const server = createServer(socket => {
      socket.on('error', () => {});
      socket.once('data', () => {
        // The rest of an upload stays unread while the answer is sent.
        socket.pause();
        answers++;
        form.answer(socket);
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    t.teardown(() => server.close());
    const {port} = server.address() as AddressInfo;
    fleet.configure(['key']);
    fleet.enter('register-1', `127.0.0.1:${port}`, 'ready');
    const host = await fleet.host('host-1');
    await fleet.ready(host);
    for (let round = 0; round < ROUNDS; round++) {
      const before = answers;
      const {path = '/record/1', upload = 1} = form;
      const text = await exchange(host, path, upload);
      t.false(looksWhole(text), text.slice(0, 300));
      t.regex(text, /^HTTP\/1\.1 (200|50[234]) /);
      t.true(answers > before);
    }
  });
}
