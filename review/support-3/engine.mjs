/**
 * A stand-in of an engine, a process of its own: `engine.mjs SETTINGS`, JSON. It
 * checks the instance that a request names, runs what it gets, and writes a JSON
 * line for each step. Its answers have a length, chunks, or neither.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:net';
import {setTimeout} from 'node:timers';

const settings = JSON.parse(process.argv[2]);
const {
  id,
  ip,
  events = 10,
  gapMilliseconds = 100,
  workMilliseconds = 30,
  framing = 'chunks',
  version = 'v1',
} = settings;

const say = fields => process.stdout.write(`${JSON.stringify(fields)}\n`);

const server = createServer(socket => {
  let received = Buffer.alloc(0);
  socket.on('error', () => {});
  socket.on('data', bytes => {
    received = Buffer.concat([received, bytes]);
    for (;;) {
      const end = received.indexOf('\r\n\r\n');
      if (end < 0) return;
      const [first, ...lines] = received
        .toString('latin1', 0, end)
        .split('\r\n');
      const headers = new Map(
        lines.map(line => {
          const colon = line.indexOf(':');
          return [
            line.slice(0, colon).toLowerCase(),
            line.slice(colon + 1).trim(),
          ];
        }),
      );
      const length = Number(headers.get('content-length') ?? 0);
      if (received.length < end + 4 + length) return;
      received = received.subarray(end + 4 + length);
      void answer(socket, first, headers);
    }
  });
});

async function answer(socket, first, headers) {
  const [, path] = first.split(' ');
  if (path === '/health') {
    const load = `X-Server-Load: 0,0,${settings.slots ?? 6}\r\n`;
    const head = `HTTP/1.1 200 OK\r\nX-Instance-Id: ${id}\r\n${load}`;
    return socket.write(`${head}Content-Length: 0\r\n\r\n`);
  }
  if (path === '/-/report') return report(socket);
  const attempt = headers.get('x-attempt-id');
  const expected = headers.get('x-expect-instance');
  const echo = `X-Attempt-Id: ${attempt}\r\n`;
  if (expected !== undefined && expected !== id) {
    const head = `HTTP/1.1 421 Misdirected Request\r\n${echo}`;
    return socket.write(
      `${head}X-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
    );
  }
  const after = Number(headers.get('last-event-id') ?? 0);
  say({event: 'run', id, attempt, path, after});
  const seal = `X-Response-Seal: seal-${id}-${attempt}\r\n`;
  if (!path.startsWith('/draft/')) {
    await wait(workMilliseconds);
    const body = `${'x'.repeat(790)}-whole`;
    say({event: 'whole', id, attempt, bytes: body.length});
    if (framing === 'connection')
      return socket.end(
        `HTTP/1.1 200 OK\r\n${echo}${seal}Connection: close\r\n\r\n${body}`,
      );
    const size = `Content-Length: ${body.length}\r\n`;
    return socket.write(`HTTP/1.1 200 OK\r\n${echo}${seal}${size}\r\n${body}`);
  }
  const type = 'Content-Type: text/event-stream\r\n';
  const isChunked = framing === 'chunks';
  const how = isChunked ? 'Transfer-Encoding: chunked' : 'Connection: close';
  socket.write(`HTTP/1.1 200 OK\r\n${echo}${seal}${type}${how}\r\n\r\n`);
  for (let number = after + 1; number <= events; number++) {
    await wait(gapMilliseconds);
    if (socket.destroyed) return say({event: 'left', id, attempt, number});
    const text = `id: ${number}\ndata: piece-${number}-of-${events} by-${version}\n\n`;
    const size = Buffer.byteLength(text).toString(16);
    socket.write(isChunked ? `${size}\r\n${text}\r\n` : text);
    say({event: 'piece', id, attempt, number});
  }
  if (isChunked) socket.write('0\r\n\r\n');
  else socket.end();
  say({event: 'complete', id, attempt});
}

function report(socket) {
  const body = JSON.stringify({
    stage: 'both',
    models: [],
    busy: false,
    sequence: 0,
    born: settings.born,
  });
  const type = 'Content-Type: application/json\r\n';
  const size = `Content-Length: ${body.length}\r\n`;
  socket.write(`HTTP/1.1 200 OK\r\n${type}${size}\r\n${body}`);
}

function wait(milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

server.listen(settings.port ?? 0, ip, () =>
  say({event: 'listening', id, address: `${ip}:${server.address().port}`}),
);
