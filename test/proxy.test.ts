/** The proxy of the soak: what it does wrong, and what no connection does. */
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

import test, {type ExecutionContext} from 'ava';

import {FaultyProxy} from '../soak/proxy.js';
import {partsOf} from '../source/wire/index.js';

/** A proxy before a server, the text that has come there, and a way to it. */
async function behindProxy(t: ExecutionContext) {
  const received = {text: ''};
  const server = createServer(socket => {
    socket.on('data', bytes => (received.text += bytes.toString()));
    socket.on('error', () => {});
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const proxy = new FaultyProxy(`127.0.0.1:${port}`);
  await proxy.start();
  t.teardown(() => {
    proxy.stop();
    server.close();
  });
  const socket = connect({...partsOf(proxy.address), noDelay: true});
  socket.on('error', () => {});
  await new Promise<void>(resolve => socket.once('connect', resolve));
  return {proxy, socket, received};
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise(resolve => setTimeout(resolve, 5));
}

function closed(socket: Socket): Promise<void> {
  return new Promise(resolve => socket.once('close', () => resolve()));
}

test('bytes that are delayed are not overtaken by later ones', async t => {
  const {proxy, socket, received} = await behindProxy(t);
  proxy.set('delay');
  socket.write('first ');
  // The proxy has it when a moment has passed, and holds it for longer.
  await new Promise(resolve => setTimeout(resolve, 30));
  proxy.set('pass');
  socket.write('second');
  await until(() => received.text.length === 12);
  t.is(received.text, 'first second');
});

test('a connection whose bytes a silent proxy swallows delivers none after the gap, a new one does, and a reset ends them', async t => {
  const {proxy, socket, received} = await behindProxy(t);
  socket.write('heard ');
  await until(() => received.text === 'heard ');
  proxy.set('silent');
  socket.write('lost ');
  await new Promise(resolve => setTimeout(resolve, 30));
  proxy.set('pass');
  socket.write('after the gap ');
  await new Promise(resolve => setTimeout(resolve, 30));
  const another = connect({...partsOf(proxy.address), noDelay: true});
  another.on('error', () => {});
  another.write('anew');
  await until(() => received.text.endsWith('anew'));
  t.is(received.text, 'heard anew');
  const end = Promise.all([closed(socket), closed(another)]);
  proxy.set('reset');
  await end;
});
