/**
 * What bytes cost that come in small pieces: bodies over connections, one and
 * twelve at once, with the longest time for which they hold up the event loop;
 * events of a stream; frames of other hosts.
 */
import {createServer, type AddressInfo} from 'node:net';

import {EventSplitter} from '../source/forward/index.js';
import {encodeFrame, FrameReader} from '../source/peers/index.js';
import {exchangeBytes, GuardedKeepAliveAgent} from '../source/wire/index.js';

const PIECE_BYTES = [1, 2, 8, 64, 4_096];
const CONNECTIONS = [1, 12];
/** Bytes of each body, event and frame. */
const LENGTH = 200_000;
const CALL_MILLISECONDS = 60_000;

/** Starts a server whose bodies come in chunks of as many bytes as the path says. */
async function startServer(): Promise<string> {
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.on('data', bytes => {
      const size = Number(/^GET \/(\d+)/.exec(bytes.toString())?.[1]);
      const chunk = `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`;
      socket.end(
        'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n' +
          `${chunk.repeat(LENGTH / size)}0\r\n\r\n`,
      );
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  server.unref();
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Watches the event loop; the result is the longest time between two turns. */
function watchTurns(): () => number {
  let longest = 0;
  let before = performance.now();
  let timer: NodeJS.Immediate;
  const turn = () => {
    const now = performance.now();
    longest = Math.max(longest, now - before);
    before = now;
    timer = setImmediate(turn);
  };
  timer = setImmediate(turn);
  return () => {
    clearImmediate(timer);
    return longest;
  };
}

async function measureBodies(
  address: string,
  size: number,
  count: number,
): Promise<string> {
  const longestTurn = watchTurns();
  const startedAt = performance.now();
  const call = {address, method: 'GET', path: `/${size}`, headers: {}};
  const agent = new GuardedKeepAliveAgent();
  const calls = Array.from({length: count}, () =>
    exchangeBytes({...call, agent, bound: CALL_MILLISECONDS}),
  );
  await Promise.all(calls);
  const duration = performance.now() - startedAt;
  agent.destroy();
  return `${duration.toFixed(0)} (${longestTurn().toFixed(0)})`;
}

/** Milliseconds to take bytes in pieces of a size. */
function measurePieces(
  bytes: Buffer,
  size: number,
  take: (piece: Buffer) => void,
): string {
  const startedAt = performance.now();
  for (let begin = 0; begin < bytes.length; begin += size)
    take(bytes.subarray(begin, begin + size));
  return (performance.now() - startedAt).toFixed(1);
}

const address = await startServer();
await measureBodies(address, 64, 1);
const event = Buffer.from(`data: ${'x'.repeat(LENGTH)}\n\n`);
const frame = encodeFrame({text: 'x'.repeat(LENGTH)});
console.log(
  '| piece, B | body, ms (longest turn) | twelve bodies | event, ms | frame, ms |',
);
console.log('| --- | --- | --- | --- | --- |');
for (const size of PIECE_BYTES) {
  const cells = [String(size)];
  for (const count of CONNECTIONS)
    cells.push(await measureBodies(address, size, count));
  const splitter = new EventSplitter();
  cells.push(measurePieces(event, size, piece => splitter.push(piece)));
  const reader = new FrameReader();
  cells.push(measurePieces(frame, size, piece => reader.push(piece)));
  console.log(`| ${cells.join(' | ')} |`);
}
