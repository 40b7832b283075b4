/**
 * Messages sent while a connection is being established are delivered
 * afterwards. Those on a connection that has been replaced are not: they would
 * arrive seconds late, when what held them up is over.
 */
import {createServer} from 'node:net';

import test from 'ava';

import {SystemClock} from '../source/clock/index.js';
import {
  gossipSchema,
  OutboundConnection,
  type GossipMessage,
} from '../source/gossip/index.js';
import {FrameReader} from '../source/peers/index.js';
import {listen} from '../standins/listen.js';
import {freeAddress} from '../tools/ports.js';

const FROM = {
  name: 'one',
  started: 1,
  address: '127.0.0.1:1',
  zone: 'palermo',
};

function recordsRequest(position: number): GossipMessage {
  return {kind: 'wanted', from: FROM, topic: 'endpoints', position};
}

test('messages sent before the connection is established arrive; if there are many, only the newest eight', async t => {
  const address = await freeAddress();
  const positions: number[] = [];
  const server = createServer(socket => {
    const reader = new FrameReader();
    socket.on('error', () => {});
    socket.on('data', bytes => {
      for (const value of reader.push(bytes)) {
        const message = gossipSchema.parse(value);
        if (message.kind === 'wanted') positions.push(message.position);
      }
    });
  });
  await listen(server, address);
  const outbox = new OutboundConnection(address, new SystemClock());
  t.teardown(() => {
    outbox.reset();
    server.close();
  });
  for (let position = 1; position <= 20; position++) {
    outbox.send(recordsRequest(position));
  }
  while (positions.length < 8)
    await new Promise(resolve => setTimeout(resolve, 10));
  t.deepEqual(positions, [13, 14, 15, 16, 17, 18, 19, 20]);
});

test('a connection that is replaced is reset, so that nothing held up on it arrives late', async t => {
  const address = await freeAddress();
  let accept = () => {};
  let end: (how: string) => void = () => {};
  const accepted = new Promise<void>(resolve => (accept = resolve));
  const ended = new Promise<string>(resolve => (end = resolve));
  const server = createServer(socket => {
    socket.once('data', () => accept());
    socket.on('end', () => end('end'));
    socket.on('error', ({message}) => end(message));
  });
  await listen(server, address);
  t.teardown(() => server.close());
  const outbox = new OutboundConnection(address, new SystemClock());
  outbox.send(recordsRequest(1));
  await accepted;
  outbox.reset();
  t.is(await ended, 'read ECONNRESET');
});
