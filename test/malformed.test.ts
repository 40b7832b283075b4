/**
 * Host processes go on after malformed input: of a caller, the store, an
 * endpoint, an operator or another host.
 */
import {request} from 'node:http';

import test, {type ExecutionContext} from 'ava';

import {EdgeFleet, type HostProcess} from './support/edgeprocess.js';

const ANSWER_TIMEOUT_MILLISECONDS = 5_000;

interface ServingHost {
  readonly fleet: EdgeFleet;
  readonly host: HostProcess;
}

async function startServing(t: ExecutionContext): Promise<ServingHost> {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['key']);
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  return {fleet, host};
}

/** The status of a read; 0 if there is no answer in time. */
function statusOf(
  {callers}: HostProcess,
  headers: Readonly<Record<string, string>> = {},
): Promise<number> {
  return new Promise(resolve => {
    const sent = request(
      `http://${callers}/read/1`,
      {
        agent: false,
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MILLISECONDS),
        headers: {
          host: 'register.example',
          authorization: 'Bearer key',
          'x-attempt-id': 'reader',
          'x-deadline-ms': '2000',
          ...headers,
        },
      },
      message => {
        message.resume();
        resolve(message.statusCode ?? 0);
      },
    );
    sent.on('error', () => resolve(0));
    sent.end();
  });
}

test('a host serves on after a prompt of infinitely many tokens', async t => {
  const {host} = await startServing(t);
  const prompt = {'x-model': 'm', 'x-token-counts': 'Infinity,1'};
  t.is(await statusOf(host, prompt), 200);
  t.is(await statusOf(host, prompt), 200);
  t.is(await statusOf(host), 200);
});
