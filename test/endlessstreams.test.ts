/**
 * Streams whose events never end, or that send comments or events without end:
 * what their caller and the host's memory get to feel of it.
 */
import test from 'ava';

import {
  endless,
  FILLER,
  RESPONSE_DUE,
  sealedHead,
  SOCKET_BUFFERS,
  TIMEOUT,
  type EndlessBytes,
  type SentBytes,
} from './support/endless.js';
import {
  firstThen,
  ForwarderFixture,
  sealHeaders,
  type Behaviour,
  type ReceivedRequest,
} from './support/forwarding.js';

const STREAM = {streaming: true, timeout: TIMEOUT};

function streamOf(
  begin: string,
  part: string,
  pause: number,
): (received: ReceivedRequest) => EndlessBytes {
  return received => ({
    head: sealedHead(received, ['connection: close']) + begin,
    part,
    pause,
  });
}

test('an event that never ends fails the attempt before it fills the memory', async t => {
  const sent: SentBytes = {count: 0};
  const route = {...STREAM, timeout: TIMEOUT * 4};
  const fixture = await ForwarderFixture.start(t, route, [
    endless(streamOf('id: 1\ndata: ', FILLER, 0), sent),
  ]);
  const reply = await fixture.send();
  t.is(reply.status, 502);
  await fixture.until(() => fixture.received[0]?.closed === true);
  t.true(sent.count < SOCKET_BUFFERS);
  const line = fixture.logLines.find(({event}) => event === 'attempt-failed');
  t.is(line?.fields['stage'], 'malformed');
});

test('an event that never ends and comes slowly ends at the route’s timeout', async t => {
  const fixture = await ForwarderFixture.start(t, STREAM, [
    endless(streamOf('id: 1\ndata: ', 'x', 10)),
  ]);
  const startedAt = performance.now();
  const reply = await fixture.send();
  t.is(reply.status, 504);
  t.true(performance.now() - startedAt < RESPONSE_DUE);
  await fixture.until(() => fixture.received[0]?.closed === true);
});

test('endless comments before the first event do not keep a stream from another endpoint', async t => {
  const route = {...STREAM, timeout: 4_000, resumable: true, attempts: 2};
  const comments = endless(streamOf('', ': wait\n\n', 10));
  const events: Behaviour = (received, response) => {
    response.writeHead(200, sealHeaders(received));
    response.end('id: 1\ndata: piece\n\n');
  };
  const once = firstThen(comments, events);
  const fixture = await ForwarderFixture.start(t, route, [once, once]);
  const reply = await fixture.send();
  t.is(reply.status, 200);
  t.true(reply.whole);
  t.is(reply.body, 'id: 1\ndata: piece\n\n');
});

test('endless comments after an event do not keep a stream from another endpoint', async t => {
  const route = {...STREAM, timeout: 4_000, resumable: true, attempts: 2};
  const comments = endless(streamOf('id: 1\ndata: a\n\n', ': wait\n\n', 50));
  const events: Behaviour = (received, response) => {
    response.writeHead(200, sealHeaders(received));
    response.end('id: 2\ndata: b\n\n');
  };
  const once = firstThen(comments, events);
  const fixture = await ForwarderFixture.start(t, route, [once, once]);
  const reply = await fixture.send();
  t.true(reply.whole);
  t.is(
    reply.body.replaceAll(': wait\n\n', ''),
    'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
  );
});

test('endless events end at the route’s timeout, and the response does not look complete', async t => {
  const sent: SentBytes = {count: 0};
  const fixture = await ForwarderFixture.start(t, STREAM, [
    endless(streamOf('id: 1\ndata: a\n\n', 'data: b\n\n', 5), sent),
  ]);
  const startedAt = performance.now();
  const reply = await fixture.send();
  t.is(reply.status, 200);
  t.false(reply.whole);
  t.true(performance.now() - startedAt < RESPONSE_DUE);
  await fixture.until(() => fixture.received[0]?.closed === true);
});

test('a stream whose lines end with a carriage return and a line feed is relayed event by event', async t => {
  const fixture = await ForwarderFixture.start(t, STREAM, [
    (received, response) => {
      response.writeHead(200, sealHeaders(received));
      response.write('id: 1\r\ndata: a\r\n\r');
      setTimeout(() => response.write('\nid: 2\r\ndata: b\r\n\r\n'), 20);
    },
  ]);
  const reply = await fixture.send();
  t.is(reply.body, 'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n');
  t.false(reply.whole);
});

test('a caller that does not read holds the endpoint back, is not taken for its silence, and ends at the route’s timeout', async t => {
  const sent: SentBytes = {count: 0};
  const route = {...STREAM, timeout: 2_500, resumable: true, attempts: 2};
  const event = `data: ${FILLER}\n\n`;
  const fixture = await ForwarderFixture.start(t, route, [
    endless(streamOf('id: 1\ndata: a\n\n', event, 0), sent),
    endless(streamOf('id: 1\ndata: a\n\n', event, 0), sent),
  ]);
  const startedAt = performance.now();
  await fixture.sendWithoutReading();
  const duration = performance.now() - startedAt;
  t.true(duration > 2_000 && duration < 2_900);
  t.is(fixture.received.length, 1);
  t.true(sent.count < 4 * SOCKET_BUFFERS);
  await fixture.until(() => fixture.received[0]?.closed === true);
});

test('a slow event that never ends counts as a failure', async t => {
  const fixture = await ForwarderFixture.start(t, STREAM, [
    endless(streamOf('', 'x', 10)),
  ]);
  const reply = await fixture.send();
  t.is(reply.status, 504);
  t.true(fixture.logLines.some(({event}) => event === 'attempt-failed'));
});
