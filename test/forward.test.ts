/**
 * Forwards one request to endpoints that fail in different ways, and checks
 * what is retried, what response the caller gets, and what it is told about the
 * request having run (invariants 3, 4 and 10 to 12).
 */
import test from 'ava';

import {
  firstThen,
  ForwarderFixture,
  respondWith,
  sealHeaders,
  type Behaviour,
} from './support/forwarding.js';

const NOT_RUN: Behaviour = (_, response) => {
  response.writeHead(503, {'x-not-executed': '1'});
  response.end();
};

const DISCONNECT: Behaviour = (_, response) => {
  response.destroy();
};

const SILENT: Behaviour = () => {};

test('a request is forwarded with its team’s name and without its key', async t => {
  const fixture = await ForwarderFixture.start(t, {}, [
    respondWith(200, 'done'),
  ]);
  const headers = {
    'x-tenant': 'forged',
    'x-hold': 'forged',
    'kv-from': 'forged',
    'x-kept': 'yes',
  };
  const reply = await fixture.send(headers, 'draft', '/drafts/a?b=c');
  t.is(reply.status, 200);
  t.is(reply.body, 'done');
  t.is(reply.headers['x-response-seal'], 'seal');
  const [received] = fixture.received;
  t.is(received?.body, 'draft');
  t.is(received?.message.url, '/drafts/a?b=c');
  const got = received?.message.headers ?? {};
  t.is(got['x-tenant'], 'editors');
  t.is(got['x-expect-instance'], 'engine-0');
  t.is(got['x-kept'], 'yes');
  t.true(Number(got['x-deadline-ms']) <= 4_000);
  for (const name of ['authorization', 'x-hold', 'kv-from']) {
    t.is(got[name], undefined);
  }
  t.deepEqual(fixture.startedTeams, ['editors']);
});

test('a request with an unknown key, route or host is refused and reaches no endpoint', async t => {
  const fixture = await ForwarderFixture.start(t, {}, [
    respondWith(200, 'done'),
  ]);
  const key = await fixture.send({authorization: 'Bearer other'});
  t.is(key.status, 401);
  t.is((await fixture.send({}, '', '/other/')).status, 404);
  t.is((await fixture.send({host: 'other.example'})).status, 404);
  t.is(fixture.received.length, 0);
});

test('a request that an endpoint states it has not run is retried at another endpoint', async t => {
  const fixture = await ForwarderFixture.start(t, {}, [
    (received, response, count) => {
      const behave = count === 0 ? NOT_RUN : respondWith(200, 'done');
      behave(received, response, count);
    },
    (received, response, count) => {
      const behave = count === 0 ? NOT_RUN : respondWith(200, 'done');
      behave(received, response, count);
    },
  ]);
  const reply = await fixture.send();
  t.is(reply.status, 200);
  t.true(fixture.received.length <= 3);
});

test('a request that may run only once is not retried, and the refusal does not state that it did not run', async t => {
  const fixture = await ForwarderFixture.start(t, {attempts: 3}, [
    DISCONNECT,
    DISCONNECT,
  ]);
  const reply = await fixture.send();
  t.is(reply.status, 502);
  t.is(reply.headers['retry-after'], undefined);
  t.is(fixture.received.length, 1);
});

test('a request that no endpoint runs is refused as not run, with Retry-After', async t => {
  const fixture = await ForwarderFixture.start(t, {}, [NOT_RUN]);
  const reply = await fixture.send();
  t.is(reply.status, 503);
  const after = Number(reply.headers['retry-after']);
  t.true(after > 0 && after <= 4 / 3);
});

test('a request cut off by one endpoint and not run by the next is not refused as not run', async t => {
  const route = {repeatable: true, attempts: 3};
  const fixture = await ForwarderFixture.start(t, route, [
    DISCONNECT,
    NOT_RUN,
    NOT_RUN,
  ]);
  let reply = await fixture.send();
  for (let round = 0; round < 5 && fixture.received.length < 2; round++) {
    reply = await fixture.send();
  }
  const cut = fixture.received.some(({endpoint}) => endpoint === 'engine-0');
  if (cut) t.is(reply.status, 502);
  else t.is(reply.status, 503);
});

test('a repeatable request that fails is retried at another endpoint', async t => {
  const route = {repeatable: true, attempts: 2};
  const failOnce = firstThen(
    respondWith(500, 'failed'),
    respondWith(200, 'done'),
  );
  const fixture = await ForwarderFixture.start(t, route, [failOnce, failOnce]);
  const reply = await fixture.send();
  t.is(reply.status, 200);
  t.is(fixture.received.length, 2);
  t.not(fixture.received[0]?.endpoint, fixture.received[1]?.endpoint);
});

test('an endpoint’s own error response is passed on unchanged', async t => {
  const fixture = await ForwarderFixture.start(t, {}, [
    respondWith(500, 'sorry'),
  ]);
  const reply = await fixture.send();
  t.is(reply.status, 500);
  t.is(reply.body, 'sorry');
  t.is(reply.headers['x-response-seal'], 'seal');
});

test('a response to another request, or without a seal, reaches no caller', async t => {
  const fixture = await ForwarderFixture.start(t, {}, [
    (received, response, count) => {
      const seal = count === 0 ? {'x-response-seal': 'seal'} : {};
      response.writeHead(200, {'x-attempt-id': 'other', ...seal});
      response.end('not yours');
    },
  ]);
  for (let round = 0; round < 2; round++) {
    const reply = await fixture.send();
    t.is(reply.status, 502);
    t.false(reply.body.includes('not yours'));
  }
});

test('a truncated response is not passed on as complete', async t => {
  const fixture = await ForwarderFixture.start(t, {}, [
    (received, response) => {
      response.writeHead(200, {
        ...sealHeaders(received),
        'content-length': '10',
      });
      response.write('half');
      setImmediate(() => response.destroy());
    },
  ]);
  const reply = await fixture.send();
  t.is(reply.status, 502);
});

test('a request without a response is refused at the route’s timeout', async t => {
  const fixture = await ForwarderFixture.start(t, {timeout: 150}, [SILENT]);
  const reply = await fixture.send();
  t.is(reply.status, 504);
  await fixture.until(() => fixture.received[0]?.closed === true);
  t.pass();
});

test('the request to the endpoint is cancelled when the caller disconnects', async t => {
  const fixture = await ForwarderFixture.start(t, {}, [SILENT]);
  await fixture.sendAndDisconnect();
  await fixture.until(() => fixture.received[0]?.closed === true);
  t.is(fixture.received.length, 1);
});

test('a body over the size limit is refused', async t => {
  const fixture = await ForwarderFixture.start(t, {}, [
    respondWith(200, 'done'),
  ]);
  const reply = await fixture.send({}, 'x'.repeat(70_000));
  t.is(reply.status, 413);
  t.is(fixture.received.length, 0);
});

test('each request is logged with the endpoint chosen for it and with its outcome', async t => {
  const fixture = await ForwarderFixture.start(t, {}, [
    respondWith(200, 'done'),
  ]);
  await fixture.send({'x-attempt-id': 'traced'});
  await fixture.until(() =>
    fixture.logLines.some(({event}) => event === 'request'),
  );
  const lines = fixture.logLines.filter(
    ({fields}) => fields['request'] === 'traced',
  );
  t.deepEqual(
    lines.map(({event}) => event),
    ['request-sent', 'request'],
  );
  t.is(lines[1]?.fields['outcome'], 'answered');
  t.is(lines[0]?.fields['endpoint'], 'engine-0');
});
