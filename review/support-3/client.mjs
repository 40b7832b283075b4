/** A client that reads the bytes of its answer itself. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {clearTimeout, setTimeout} from 'node:timers';

/**
 * Sends one request on a connection of its own. Resolves with the status, the
 * body, and whether the answer says that it is complete.
 */
export function ask(address, {method, path, attempt, headers = {}, body = ''}) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = connect({host, port: Number(port)});
    const parts = [];
    const finish = error => {
      socket.destroy();
      resolve({attempt, error, ...parse(Buffer.concat(parts))});
    };
    const timer = setTimeout(() => finish('no end'), 15_000);
    const fields = {
      Host: 'register.example',
      'X-Attempt-Id': attempt,
      'X-Deadline-Ms': '6000',
      Authorization: 'Bearer key-of-guides',
      Connection: 'close',
      ...(body === '' ? {} : {'Content-Length': Buffer.byteLength(body)}),
      ...headers,
    };
    const lines = Object.entries(fields).map(
      ([name, value]) => `${name}: ${value}`,
    );
    socket.on('connect', () =>
      socket.write(
        `${method} ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n${body}`,
      ),
    );
    socket.on('data', part => parts.push(part));
    socket.on('error', ({code}) => {
      clearTimeout(timer);
      finish(code);
    });
    socket.on('end', () => {
      clearTimeout(timer);
      finish(undefined);
    });
  });
}

/** The parts of an answer; `isComplete` as its own framing says. */
function parse(bytes) {
  const end = bytes.indexOf('\r\n\r\n');
  if (end < 0)
    return {status: 0, headers: new Map(), body: '', isComplete: false};
  const [first, ...lines] = bytes.toString('latin1', 0, end).split('\r\n');
  const headers = new Map(
    lines.map(line => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const status = Number(first.split(' ')[1]);
  const rest = bytes.subarray(end + 4);
  if (headers.get('transfer-encoding') === 'chunked')
    return {status, headers, ...parseChunks(rest)};
  const length = headers.get('content-length');
  const isComplete = length === undefined || rest.length === Number(length);
  return {status, headers, body: rest.toString(), isComplete};
}

function parseChunks(bytes) {
  const parts = [];
  for (let at = 0; ;) {
    const end = bytes.indexOf('\r\n', at);
    const size =
      end < 0 ? NaN : parseInt(bytes.toString('latin1', at, end), 16);
    if (Number.isNaN(size) || end + 2 + size > bytes.length)
      return {body: Buffer.concat(parts).toString(), isComplete: false};
    if (size === 0)
      return {body: Buffer.concat(parts).toString(), isComplete: true};
    parts.push(bytes.subarray(end + 2, end + 2 + size));
    at = end + 2 + size + 2;
  }
}
