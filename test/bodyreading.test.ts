/** Bodies that are refused while they still come. */
import {connect} from 'node:net';

import test from 'ava';

import {partsOf} from '../source/wire/index.js';
import {ForwarderFixture, respondWith} from './support/forwarding.js';

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
