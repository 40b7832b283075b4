/** A guarded call that Node refuses to make fails; it throws nowhere else. */
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';

import test from 'ava';

import {WireError} from '../source/errors/index.js';
import {callGuarded} from '../source/wire/index.js';

test('a guarded call with a header that Node refuses fails with a WireError', async t => {
  const server = createServer(socket => {
    // The call resets its connection.
    socket.on('error', () => {});
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const {port} = server.address() as AddressInfo;
  const call = {
    address: `127.0.0.1:${port}`,
    method: 'POST',
    path: '/usage',
    body: {},
    bound: 1_000,
    headers: {holder: 'host–1'},
  };
  await t.throwsAsync(
    callGuarded(call, () => true),
    {instanceOf: WireError, message: /Invalid character/},
  );
});
