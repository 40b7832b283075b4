/**
 * What an endpoint had sent when it ended, over all stages of an answer. Guards
 * against crashes that nobody learned of, since they came after the first bytes,
 * and against endpoints that spoil an answer and live on being taken for crashed.
 * The table is that of docs/design/crashes.md.
 */
import test from 'ava';

import {sealedHead} from './support/endless.js';
import {
  ForwarderFixture,
  sealHeaders,
  type Behaviour,
  type ReceivedRequest,
} from './support/forwarding.js';

/** Milliseconds between the last bytes of an endpoint and its end. */
const END_DELAY_MILLISECONDS = 5;
const ROUTE = {
  streaming: true,
  resumable: true,
  repeatable: true,
  attempts: 2,
};
const PROMPT = {
  'x-model': 'm',
  'x-token-counts': '1200,40',
  'x-prefix-hash': 'a1:700,51:200,e1:300',
};
const CHUNKED = 'transfer-encoding: chunked';
const TYPE = 'content-type: text/event-stream';
const ANSWER = 'id: 1\ndata: text\n\n';

interface Stage {
  readonly name: string;
  /** What the endpoint writes before it ends. */
  readonly written: (received: ReceivedRequest) => string;
  /** Whether its end speaks against the request. */
  readonly isEvidence: boolean;
}

const always = (text: string) => () => text;

const STAGES: readonly Stage[] = [
  {name: 'nothing', written: always(''), isEvidence: true},
  {name: 'one byte of a head', written: always('H'), isEvidence: true},
  {
    name: 'a 100',
    written: always('HTTP/1.1 100 Continue\r\n\r\n'),
    isEvidence: true,
  },
  {
    name: 'a 103',
    written: always('HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n'),
    isEvidence: true,
  },
  {
    name: 'a part of the head of a stream',
    written: always('HTTP/1.1 200 OK\r\nContent-Type: text/'),
    isEvidence: true,
  },
  {
    name: 'a part of the head of a refusal',
    written: always('HTTP/1.1 503 Serv'),
    isEvidence: true,
  },
  {
    name: 'bytes that are no HTTP',
    written: always('pasticcio\r\n\r\n'),
    isEvidence: true,
  },
  {
    name: 'an error without a seal and a part of its body',
    written: always('HTTP/1.1 500 Error\r\ncontent-length: 9\r\n\r\npart'),
    isEvidence: true,
  },
  {
    name: 'the head of the answer to another request',
    written: always(
      'HTTP/1.1 200 OK\r\nx-attempt-id: other\r\nx-response-seal: seal\r\n\r\n',
    ),
    isEvidence: true,
  },
  {
    name: 'the head of a refusal and a part of its body',
    written: received =>
      sealedHead(
        received,
        ['x-not-executed: 1', 'content-length: 9'],
        '503 Full',
      ) + 'part',
    isEvidence: true,
  },
  {
    name: 'the head of an error and a part of its body',
    written: received =>
      sealedHead(received, ['content-length: 9'], '500 Error') + 'part',
    isEvidence: true,
  },
  {
    name: 'the head of a stream',
    written: received => sealedHead(received, [CHUNKED, TYPE]),
    isEvidence: true,
  },
  {
    name: 'the head of a stream and a part of an event',
    written: received =>
      sealedHead(received, [CHUNKED, TYPE]) + '6\r\nid: 1\n\r\n',
    isEvidence: true,
  },
  {
    name: 'the head of a stream and an event',
    written: received =>
      sealedHead(received, [CHUNKED, TYPE]) +
      `${ANSWER.length.toString(16)}\r\n${ANSWER}\r\n`,
    isEvidence: false,
  },
  {
    name: 'a complete answer',
    written: received =>
      sealedHead(received, [`content-length: ${ANSWER.length}`, TYPE]) + ANSWER,
    isEvidence: false,
  },
];

/** Whether a host has found that an endpoint crashed on a request without events. */
function isCrashFound({logLines}: ForwarderFixture): boolean {
  return logLines.some(
    ({event, fields}) =>
      event === 'endpoint-crashed' &&
      String(fields['requests']).includes('events 0'),
  );
}

/** Lets the first endpoint that gets a request misbehave, and the other answer. */
function firstOnly(
  misbehave: Behaviour,
  onResent: () => void = () => {},
): Behaviour[] {
  let requests = 0;
  const behaviour: Behaviour = (received, response, count) => {
    if (requests++ === 0) return misbehave(received, response, count);
    onResent();
    const last = received.message.headers['last-event-id'] === '1';
    response.writeHead(200, {
      ...sealHeaders(received),
      'content-type': 'text/event-stream',
    });
    response.end(last ? 'id: 2\ndata: text\n\n' : ANSWER);
  };
  return [behaviour, behaviour];
}

for (const {name, written, isEvidence} of STAGES) {
  const verb = isEvidence ? 'counts' : 'does not count';
  test(`the end of an endpoint that has written ${name} ${verb} against the request`, async t => {
    let endedAt = Infinity;
    let resentAt = Infinity;
    const fixture: ForwarderFixture = await ForwarderFixture.start(
      t,
      ROUTE,
      firstOnly(
        (received, {socket}) => {
          socket?.on('error', () => {});
          socket?.write(written(received));
          setTimeout(() => {
            endedAt = performance.now();
            fixture.crash(received.endpoint);
          }, END_DELAY_MILLISECONDS);
        },
        () => (resentAt = performance.now()),
      ),
    );
    const reply = await fixture.send(PROMPT, 'text');
    t.is(reply.status, 200);
    t.is(isCrashFound(fixture), isEvidence);
    if (isEvidence) t.true(resentAt > endedAt, 'sent again before the end');
  });
}

const LIVING = STAGES.filter(({isEvidence}) => isEvidence);

for (const {name, written} of LIVING) {
  test(`an endpoint that has written ${name}, closes the connection and lives on has not crashed`, async t => {
    const fixture = await ForwarderFixture.start(
      t,
      ROUTE,
      firstOnly((received, {socket}) => {
        socket?.on('error', () => {});
        socket?.end(written(received));
      }),
    );
    const reply = await fixture.send(PROMPT, 'text');
    t.is(reply.status, 200);
    t.is(reply.body, ANSWER);
    t.false(isCrashFound(fixture));
  });
}
