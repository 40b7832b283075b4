/** The whole path through real processes: hosts, engines, services, platform. */
import test from 'ava';
import OpenAI from 'openai';

import {DEPLOYMENTS} from '../tools/deployments.js';
import {Fleet} from '../tools/fleet.js';

let fleet: Fleet;

test.before(async () => {
  fleet = await Fleet.start({...DEPLOYMENTS.consorzio, hosts: 2});
  await fleet.configure();
});

test.after.always(() => fleet?.stop());

function clientOf(host: number): OpenAI {
  return new OpenAI({
    apiKey: fleet.keys.get('editors') ?? '',
    baseURL: `http://${fleet.hosts[host]?.address}/v1`,
    maxRetries: 0,
  });
}

test('a stream comes whole through either host', async t => {
  for (const host of [0, 1]) {
    const stream = await clientOf(host).chat.completions.create({
      model: 'phrase-suggestion',
      stream: true,
      messages: [{role: 'user', content: 'Where does the ferry leave?'}],
    });
    let finish = '';
    for await (const chunk of stream) {
      finish = chunk.choices[0]?.finish_reason ?? finish;
    }
    t.is(finish, 'stop');
  }
});

test('a whole answer carries its usage', async t => {
  const answer = await clientOf(0).chat.completions.create({
    model: 'glossary-drafting',
    messages: [{role: 'user', content: 'Revise the entry for scaccia.'}],
  });
  t.true((answer.usage?.completion_tokens ?? 0) > 0);
});

test('models are those of the routes', async t => {
  const {data} = await clientOf(1).models.list();
  t.deepEqual(
    data.map(({id}) => id),
    ['glossary-drafting', 'phrase-suggestion'],
  );
});

test('a revision reaches the register once', async t => {
  const {hosts, keys} = fleet;
  const answer = await fetch(`http://${hosts[0]?.address}/register/scaccia`, {
    method: 'POST',
    headers: {authorization: `Bearer ${keys.get('editors')}`},
    body: JSON.stringify({revision: 1}),
  });
  t.is(answer.status, 200);
  t.is(answer.headers.get('arbutusslip-outcome'), 'ran');
});
