/** Errors of a server that listens. */
import {createServer} from 'node:net';

import test from 'ava';

import {listen} from '../source/wire/index.js';
import {freeAddress} from '../tools/ports.js';

for (const code of ['EMFILE', 'ENOBUFS', 'ENOMEM']) {
  test(`an error ${code} on accept does not end the process of a server that listens`, async t => {
    const server = createServer();
    t.teardown(() => server.close());
    await listen(server, await freeAddress());
    const error = Object.assign(new Error(`accept ${code}`), {code});
    t.notThrows(() => server.emit('error', error));
  });
}
