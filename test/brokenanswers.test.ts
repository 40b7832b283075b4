/**
 * Endpoints that break off. Guards against the text of another endpoint’s error in
 * the middle of a stream, a stream that ends as if it were complete, and a
 * success with an empty or short body for an answer whose head was cut.
 */
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

import test, {type ExecutionContext} from 'ava';

import {partsOf} from '../source/wire/index.js';
import {
  EdgeFleet,
  sealed,
  until,
  type EndpointAnswer,
  type HostProcess,
} from './support/edgeprocess.js';

const EVENTS = ['id: 1\ndata: one\n\n', 'id: 2\ndata: two\n\n'];
const FOREIGN = 'something else';

/** What the endpoint answers at which the stream would go on. */
const SECOND_ANSWERS: Readonly<Record<string, EndpointAnswer>> = {
  'an error': (message, response) => {
    response.writeHead(500, sealed(message));
    response.end(`${FOREIGN}\n\n`);
  },
  'a refusal': (message, response) => {
    response.writeHead(503, {...sealed(message), 'x-not-executed': '1'});
    response.end(`data: ${FOREIGN}\n\n`);
  },
  'a redirect': (message, response) => {
    response.writeHead(302, {...sealed(message), location: `/${FOREIGN}`});
    response.end(`data: ${FOREIGN}\n\n`);
  },
  'a success that is no stream': (message, response) => {
    const type = {'content-type': 'application/json'};
    response.writeHead(200, {...sealed(message), ...type});
    response.end(`"${FOREIGN}"\n\n\n`);
  },
  'a success of another content type': (message, response) => {
    const type = {'content-type': 'text/html'};
    response.writeHead(200, {...sealed(message), ...type});
    response.end(`<p>${FOREIGN}\n\n</p>\n\n`);
  },
  'a success without a content type': (message, response) => {
    response.writeHead(200, sealed(message));
    response.end(`${FOREIGN}\n\n`);
  },
  'a success without content': (message, response) => {
    response.writeHead(204, sealed(message));
    response.end();
  },
  'a stream without events': (message, response) => {
    const type = {'content-type': 'text/event-stream'};
    response.writeHead(200, {...sealed(message), ...type});
    response.end();
  },
  'the end of the connection': (_, response) => {
    response.destroy();
  },
};

/** Sends a request on a connection of its own; all bytes that come back. */
function exchange(host: HostProcess, path: string): Promise<string> {
  return new Promise(resolve => {
    const socket = connect(partsOf(host.callers));
    let text = '';
    socket.on('data', part => (text += part.toString()));
    socket.on('error', () => {});
    socket.on('close', () => resolve(text));
    socket.write(
      `GET ${path} HTTP/1.1\r\nHost: register.example\r\n` +
        'Authorization: Bearer key\r\nX-Attempt-Id: reader\r\n' +
        'X-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n',
    );
  });
}

async function startHost(t: ExecutionContext, fleet: EdgeFleet) {
  fleet.configure(['key']);
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  t.is(host.child.exitCode, null);
  return host;
}

for (const [name, answer] of Object.entries(SECOND_ANSWERS)) {
  test(`a stream that has begun and would go on at ${name} is broken off without a byte of it`, async t => {
    const fleet = await EdgeFleet.start(t);
    let requests = 0;
    const respond: EndpointAnswer = (message, response) => {
      if (requests++ > 0) return answer(message, response);
      const type = {'content-type': 'text/event-stream'};
      response.writeHead(200, {...sealed(message), ...type});
      response.write(EVENTS.join(''));
      setTimeout(() => response.destroy(), 50);
    };
    await fleet.endpoint('register-1', respond);
    await fleet.endpoint('register-2', respond);
    const host = await startHost(t, fleet);
    const text = await exchange(host, '/draft/1');
    t.true(text.startsWith('HTTP/1.1 200'), text);
    t.true(text.includes('data: two'), text);
    t.false(text.includes(FOREIGN), text);
    t.false(text.endsWith('0\r\n\r\n'), 'the stream ends as complete');
    t.is(text.split('HTTP/1.1').length, 2, text);
  });
}

const HEAD =
  'HTTP/1.1 200 OK\r\nX-Attempt-Id: reader\r\nX-Response-Seal: seal\r\n' +
  'Content-Length: 5\r\n\r\n';
const UNFRAMED_HEAD =
  'HTTP/1.1 200 OK\r\nX-Attempt-Id: reader\r\nX-Response-Seal: seal\r\n\r\n';

for (const [framing, head] of Object.entries({
  'a length': HEAD,
  'no length': UNFRAMED_HEAD,
}))
  for (const ending of ['closes', 'resets'] as const)
    test(`an endpoint that ${ending} at a byte of the head of an answer with ${framing} gives no success`, async t => {
      const fleet = await EdgeFleet.start(t);
      let length = 0;
      const cut = (socket: Socket) => {
        socket.on('error', () => {});
        socket.once('data', () => {
          socket.write(head.slice(0, length));
          setTimeout(
            () =>
              ending === 'closes' ? socket.end() : socket.resetAndDestroy(),
            2,
          );
        });
      };
      const server = createServer(cut);
      await new Promise<void>(resolve => {
        server.listen(0, '127.0.0.1', resolve);
      });
      t.teardown(() => server.close());
      const {port} = server.address() as AddressInfo;
      fleet.enter('register-1', `127.0.0.1:${port}`, 'ready');
      const host = await startHost(t, fleet);
      await until(async () => (await exchange(host, '/record/1')) !== '');
      for (; length < head.length; length++) {
        const text = await exchange(host, '/record/1');
        t.false(text.startsWith('HTTP/1.1 2'), `${length} bytes: ${text}`);
      }
    });

for (const encoding of ['identity', 'gzip'])
  test(`an answer in the encoding ${encoding} that is reset behind its first bytes is not passed on as whole`, async t => {
    const fleet = await EdgeFleet.start(t);
    const server = createServer(socket => {
      socket.on('error', () => {});
      socket.once('data', () => {
        socket.write(
          'HTTP/1.1 200 OK\r\nX-Attempt-Id: reader\r\nX-Response-Seal: seal\r\n' +
            `Transfer-Encoding: ${encoding}\r\n\r\npart of the answer`,
        );
        setImmediate(() => socket.resetAndDestroy());
      });
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    t.teardown(() => server.close());
    const {port} = server.address() as AddressInfo;
    fleet.enter('register-1', `127.0.0.1:${port}`, 'ready');
    const host = await startHost(t, fleet);
    await until(async () => (await exchange(host, '/record/1')) !== '');
    for (let round = 0; round < 20; round++) {
      const text = await exchange(host, '/record/1');
      t.false(text.startsWith('HTTP/1.1 2'), text);
    }
  });
