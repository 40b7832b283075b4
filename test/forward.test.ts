/**
 * One request between a caller and endpoints that fail in every way: what runs
 * again, what the caller gets, and what it is told (invariants 3, 4, 10 to 12).
 */
import type {ServerResponse} from 'node:http';

import test from 'ava';

import {
  answerWith,
  Forwarding,
  sealOf,
  type Behaviour,
  type Seen,
} from './support/forwarding.js';

const NOT_RUN: Behaviour = (_, response) => {
  response.writeHead(503, {'x-not-executed': '1'});
  response.end();
};

const CUT: Behaviour = (_, response) => {
  response.destroy();
};

const SILENT: Behaviour = () => {};

function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** Sends events of a stream, from one after the last that the caller has. */
function sendEvents(seen: Seen, response: ServerResponse, to: number): void {
  const after = Number(seen.message.headers['last-event-id'] ?? 0);
  response.writeHead(200, sealOf(seen));
  for (let id = after + 1; id <= to; id++) response.write(event(id));
}

function eventsTo(last: number): string {
  return Array.from({length: last}, (_, index) => event(index + 1)).join('');
}

test('a request passes with its team and without its key', async t => {
  const forwarding = await Forwarding.start(t, {}, [answerWith(200, 'done')]);
  const headers = {
    'x-tenant': 'forged',
    'x-hold': 'forged',
    'kv-from': 'forged',
    'x-kept': 'yes',
  };
  const reply = await forwarding.send(headers, 'draft', '/drafts/a?b=c');
  t.is(reply.status, 200);
  t.is(reply.body, 'done');
  t.is(reply.headers['x-response-seal'], 'seal');
  const [seen] = forwarding.seen;
  t.is(seen?.body, 'draft');
  t.is(seen?.message.url, '/drafts/a?b=c');
  const got = seen?.message.headers ?? {};
  t.is(got['x-tenant'], 'editors');
  t.is(got['x-expect-instance'], 'engine-0');
  t.is(got['x-kept'], 'yes');
  t.true(Number(got['x-deadline-ms']) <= 4_000);
  for (const name of ['authorization', 'x-hold', 'kv-from']) {
    t.is(got[name], undefined);
  }
  t.deepEqual(forwarding.began, ['editors']);
});

test('an unknown key, route or host is refused and reaches nobody', async t => {
  const forwarding = await Forwarding.start(t, {}, [answerWith(200, 'done')]);
  const key = await forwarding.send({authorization: 'Bearer other'});
  t.is(key.status, 401);
  t.is((await forwarding.send({}, '', '/other/')).status, 404);
  t.is((await forwarding.send({host: 'other.example'})).status, 404);
  t.is(forwarding.seen.length, 0);
});

test('what an endpoint says it has not run goes to another one', async t => {
  const forwarding = await Forwarding.start(t, {}, [
    (seen, response, count) => {
      const act = count === 0 ? NOT_RUN : answerWith(200, 'done');
      act(seen, response, count);
    },
    (seen, response, count) => {
      const act = count === 0 ? NOT_RUN : answerWith(200, 'done');
      act(seen, response, count);
    },
  ]);
  const reply = await forwarding.send();
  t.is(reply.status, 200);
  t.true(forwarding.seen.length <= 3);
});

test('a request that may run once is not sent again, and nothing is promised', async t => {
  const forwarding = await Forwarding.start(t, {attempts: 3}, [CUT, CUT]);
  const reply = await forwarding.send();
  t.is(reply.status, 502);
  t.is(reply.headers['retry-after'], undefined);
  t.is(forwarding.seen.length, 1);
});

test('one that nobody would run is refused as not run, with a time to come back', async t => {
  const forwarding = await Forwarding.start(t, {}, [NOT_RUN]);
  const reply = await forwarding.send();
  t.is(reply.status, 503);
  const after = Number(reply.headers['retry-after']);
  t.true(after > 0 && after <= 4 / 3);
});

test('one that was cut at one endpoint and not run at the next promises nothing', async t => {
  const route = {repeatable: true, attempts: 3};
  const forwarding = await Forwarding.start(t, route, [CUT, NOT_RUN, NOT_RUN]);
  let reply = await forwarding.send();
  for (let round = 0; round < 5 && forwarding.seen.length < 2; round++) {
    reply = await forwarding.send();
  }
  const cut = forwarding.seen.some(({endpoint}) => endpoint === 'engine-0');
  if (cut) t.is(reply.status, 502);
  else t.is(reply.status, 503);
});

test('a request that may be repeated is served by another endpoint', async t => {
  const route = {repeatable: true, attempts: 2};
  const failing = answerWith(500, 'failed');
  const forwarding = await Forwarding.start(t, route, [
    (seen, response, count) =>
      (forwarding.seen.length === 1 ? failing : answerWith(200, 'done'))(
        seen,
        response,
        count,
      ),
    (seen, response, count) =>
      (forwarding.seen.length === 1 ? failing : answerWith(200, 'done'))(
        seen,
        response,
        count,
      ),
  ]);
  const reply = await forwarding.send();
  t.is(reply.status, 200);
  t.is(forwarding.seen.length, 2);
  t.not(forwarding.seen[0]?.endpoint, forwarding.seen[1]?.endpoint);
});

test('an endpoint’s own failure is passed on as it is', async t => {
  const forwarding = await Forwarding.start(t, {}, [answerWith(500, 'sorry')]);
  const reply = await forwarding.send();
  t.is(reply.status, 500);
  t.is(reply.body, 'sorry');
  t.is(reply.headers['x-response-seal'], 'seal');
});

test('an answer to another request, or without a seal, reaches no caller', async t => {
  const forwarding = await Forwarding.start(t, {}, [
    (seen, response, count) => {
      const seal = count === 0 ? {'x-response-seal': 'seal'} : {};
      response.writeHead(200, {'x-attempt-id': 'other', ...seal});
      response.end('not yours');
    },
  ]);
  for (let round = 0; round < 2; round++) {
    const reply = await forwarding.send();
    t.is(reply.status, 502);
    t.false(reply.body.includes('not yours'));
  }
});

test('an answer that is cut short is not passed on as whole', async t => {
  const forwarding = await Forwarding.start(t, {}, [
    (seen, response) => {
      response.writeHead(200, {...sealOf(seen), 'content-length': '10'});
      response.write('half');
      setImmediate(() => response.destroy());
    },
  ]);
  const reply = await forwarding.send();
  t.is(reply.status, 502);
});

test('a stream goes on at another endpoint, without a gap or a double', async t => {
  const route = {streaming: true, resumable: true, attempts: 2};
  const half: Behaviour = (seen, response) => {
    sendEvents(seen, response, 3);
    response.write('id: 4\ndata: pie');
    setTimeout(() => response.destroy(), 20);
  };
  const rest: Behaviour = (seen, response) => {
    sendEvents(seen, response, 6);
    response.end();
  };
  const first: Behaviour = (seen, response, count) =>
    (forwarding.seen.length === 1 ? half : rest)(seen, response, count);
  const forwarding = await Forwarding.start(t, route, [first, first]);
  const reply = await forwarding.send();
  t.is(reply.status, 200);
  t.true(reply.whole);
  t.is(reply.body, eventsTo(6));
  t.is(forwarding.seen[1]?.message.headers['last-event-id'], '3');
});

test('a stream that may not go on elsewhere does not look whole', async t => {
  const route = {streaming: true, attempts: 2};
  const half: Behaviour = (seen, response) => {
    sendEvents(seen, response, 3);
    setTimeout(() => response.destroy(), 20);
  };
  const forwarding = await Forwarding.start(t, route, [half, half]);
  const reply = await forwarding.send();
  t.is(reply.body, eventsTo(3));
  t.false(reply.whole);
  t.is(forwarding.seen.length, 1);
});

test('a request without an answer gets its final one at the route’s time', async t => {
  const forwarding = await Forwarding.start(t, {timeout: 150}, [SILENT]);
  const reply = await forwarding.send();
  t.is(reply.status, 504);
  await forwarding.until(() => forwarding.seen[0]?.closed === true);
  t.pass();
});

test('a caller that leaves ends the work at the endpoint', async t => {
  const forwarding = await Forwarding.start(t, {}, [SILENT]);
  await forwarding.sendAndLeave();
  await forwarding.until(() => forwarding.seen[0]?.closed === true);
  t.is(forwarding.seen.length, 1);
});

test('a body over the limit is refused', async t => {
  const forwarding = await Forwarding.start(t, {}, [answerWith(200, 'done')]);
  const reply = await forwarding.send({}, 'x'.repeat(70_000));
  t.is(reply.status, 413);
  t.is(forwarding.seen.length, 0);
});

test('each request leaves a line with what decided it and what became of it', async t => {
  const forwarding = await Forwarding.start(t, {}, [answerWith(200, 'done')]);
  await forwarding.send({'x-attempt-id': 'traced'});
  await forwarding.until(() =>
    forwarding.lines.some(({event: name}) => name === 'request'),
  );
  const lines = forwarding.lines.filter(
    ({fields}) => fields['request'] === 'traced',
  );
  t.deepEqual(
    lines.map(({event: name}) => name),
    ['request-sent', 'request'],
  );
  t.is(lines[1]?.fields['outcome'], 'answered');
  t.is(lines[0]?.fields['endpoint'], 'engine-0');
});
