/**
 * Requests that endpoints cut before they have begun the answer, although none of
 * them has crashed: what is at fault there is not the request.
 */
import test from 'ava';

import {
  ForwarderFixture,
  sealHeaders,
  type Behaviour,
} from './support/forwarding.js';

const PROMPT = {
  'x-model': 'm',
  'x-token-counts': '1200,40',
  'x-prefix-hash': 'a1:700,51:200,e1:300',
};

/** Endpoints of which so many break off their answer before the first event. */
function breakingOff(count: number): Behaviour {
  let requests = 0;
  return (received, response) => {
    response.writeHead(200, sealHeaders(received));
    response.flushHeaders();
    if (++requests <= count) return void response.destroy();
    response.end('id: 3\ndata: rest\n\n');
  };
}

test('a stream that its caller takes up ends after two endpoints that break off and live on', async t => {
  const behaviour = breakingOff(2);
  const route = {
    streaming: true,
    resumable: true,
    repeatable: true,
    attempts: 3,
  };
  const fixture = await ForwarderFixture.start(t, route, [
    behaviour,
    behaviour,
    behaviour,
  ]);
  const reply = await fixture.send(
    {...PROMPT, 'last-event-id': '2', resumes: 'begun'},
    'text',
  );
  t.is(reply.status, 200);
  t.true(reply.whole);
  t.is(reply.body, 'id: 3\ndata: rest\n\n');
});
