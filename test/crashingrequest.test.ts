/**
 * Host processes before endpoints that crash when they run one request, which
 * comes again at any host, with sound requests of the same caller beside it.
 */
import test, {type ExecutionContext} from 'ava';

import {
  CrashingEndpoint,
  type CulpritEvent,
  type CulpritOf,
} from './support/crashingendpoint.js';
import {EdgeFleet, type HostProcess} from './support/edgeprocess.js';
import {
  KeptCaller,
  type KeptAnswer,
  type KeptRequest,
} from './support/keptcaller.js';

const HOSTS = 4;
const ENDPOINTS = 6;
/** Sends that are tolerated after all hosts are to know the request. */
const TOLERATED = 3;
/** The crash after which hosts are to know the request, within CONTACT. */
const KNOWN_AFTER_CRASHES = 3;
const CONTACT_MILLISECONDS = 3_000;
const CULPRIT_INTERVAL_MILLISECONDS = 250;
const SOUND_INTERVAL_MILLISECONDS = 60;
const LENGTH_MILLISECONDS = 9_000;
const LAST_MILLISECONDS = 1_500;
/** Time after the start of traffic at which all hosts are killed. */
const KILL_MILLISECONDS = 3_500;

/** An answer, with when its request was sent. */
interface TimedAnswer extends KeptAnswer {
  readonly at: number;
}

/** What a test plays, beside sound drafts and reads at all hosts. */
interface Play {
  /** The requests that crash endpoints, by the name that `culpritOf` gives. */
  readonly culprits: Readonly<Record<string, KeptRequest>>;
  readonly culpritOf: CulpritOf;
  /** Called once traffic has begun. */
  readonly disturb?: (
    fleet: EdgeFleet,
    endpoints: readonly CrashingEndpoint[],
    hosts: HostProcess[],
  ) => Promise<void>;
}

/** What callers and endpoints have seen. */
interface Played {
  readonly endpoints: readonly CrashingEndpoint[];
  readonly sound: readonly TimedAnswer[];
  readonly answers: Readonly<Record<string, readonly TimedAnswer[]>>;
  /** Monotonic milliseconds. */
  readonly until: number;
}

const wait = (duration: number) =>
  new Promise<void>(resolve => setTimeout(resolve, duration));

/** A draft whose prompt has the parts of all drafts, and a last one of its own. */
function draft(body: string): KeptRequest {
  return {
    path: '/draft/1',
    method: 'POST',
    body: [body],
    headers: {
      'x-model': 'm',
      'x-token-counts': '1200,40',
      'x-prefix-hash': `a1:700,51:200,${Buffer.from(body).toString('hex')}:300`,
    },
  };
}

async function ask(
  host: HostProcess | undefined,
  request: KeptRequest,
): Promise<TimedAnswer> {
  const at = performance.now();
  const caller = new KeptCaller(host?.callers ?? '');
  const answer = await caller.ask(request);
  caller.stop();
  return {...answer, at};
}

/** Sends requests at an interval, each to the next host, until a time. */
async function sendInTurn(
  hosts: readonly HostProcess[],
  requestOf: (number: number) => KeptRequest,
  interval: number,
  until: number,
): Promise<TimedAnswer[]> {
  const answers: Array<Promise<TimedAnswer>> = [];
  for (let number = 0; performance.now() < until; number++) {
    answers.push(ask(hosts[number % hosts.length], requestOf(number)));
    await wait(interval);
  }
  return Promise.all(answers);
}

async function play(t: ExecutionContext, spec: Play): Promise<Played> {
  const {culprits, culpritOf, disturb} = spec;
  const fleet = await EdgeFleet.start(t);
  fleet.configure(['key']);
  const endpoints = Array.from(
    {length: ENDPOINTS},
    (_, index) => new CrashingEndpoint(`engine-${index}`, fleet, culpritOf),
  );
  t.teardown(() => endpoints.forEach(endpoint => endpoint.stop()));
  await Promise.all(endpoints.map(endpoint => endpoint.start()));
  const hosts: HostProcess[] = [];
  for (let index = 0; index < HOSTS; index++)
    hosts.push(await fleet.host(`host-${index}`));
  await Promise.all(hosts.map(host => fleet.ready(host)));
  await wait(500);
  const until = performance.now() + LENGTH_MILLISECONDS;
  const disturbed = disturb?.(fleet, endpoints, hosts);
  const sound = sendInTurn(
    hosts,
    number =>
      number % 2 === 0 ? draft(`sound ${number}`) : {path: `/read/${number}`},
    SOUND_INTERVAL_MILLISECONDS,
    until,
  );
  const answers = Object.entries(culprits).map(
    async ([name, request]) =>
      [
        name,
        await sendInTurn(
          hosts,
          () => request,
          CULPRIT_INTERVAL_MILLISECONDS,
          until,
        ),
      ] as const,
  );
  await disturbed;
  return {
    endpoints,
    sound: await sound,
    answers: Object.fromEntries(await Promise.all(answers)),
    until,
  };
}

/** Checks that a culprit is kept away, and what its caller is told then. */
function checkCulprit(t: ExecutionContext, played: Played, name: string): void {
  const ofCulprit = (events: readonly CulpritEvent[]) =>
    events.filter(({culprit}) => culprit === name).map(({at}) => at);
  const ends = played.endpoints.flatMap(({ends}) => ofCulprit(ends));
  const arrivals = played.endpoints.flatMap(({arrivals}) =>
    ofCulprit(arrivals),
  );
  ends.sort((one, other) => one - other);
  t.true(ends.length > 0, `${name} crashed nothing`);
  const decisive = ends[KNOWN_AFTER_CRASHES - 1] ?? ends[ends.length - 1] ?? 0;
  const known = decisive + CONTACT_MILLISECONDS;
  t.true(known < played.until - LAST_MILLISECONDS, `${name}: no time was left`);
  const late = arrivals.filter(at => at > known);
  t.true(
    late.length <= TOLERATED,
    `${name}: ${late.length} sends after it was known, ${ends.length} crashes`,
  );
  const refused = (played.answers[name] ?? []).filter(({at}) => at > known);
  t.true(refused.length > 0);
  const tried = refused.filter(({status}) => status !== 503);
  t.true(tried.length <= late.length, `${tried.length} were not refused`);
  for (const {status, body} of tried) {
    t.is(status, 502, body);
    t.true(body.includes('"outcome":"unknown"'), body);
  }
  for (const {status, body} of refused) {
    if (status === 503) t.true(body.includes('"outcome":"not-run"'), body);
  }
}

/** Checks that sound requests are served in the last part of a play. */
function checkSound(t: ExecutionContext, {sound, until}: Played): void {
  const last = sound.filter(({at}) => at > until - LAST_MILLISECONDS);
  const served = last.filter(({status, whole}) => status === 200 && whole);
  t.true(
    served.length >= last.length * 0.95,
    `${served.length} of ${last.length} sound requests served`,
  );
}

test('a request that crashes endpoints goes on crashing them while sound ones share all parts of its prompt', async t => {
  const played = await play(t, {
    culprits: {draft: draft('deadly draft')},
    culpritOf: ({body}) => (body === 'deadly draft' ? 'draft' : undefined),
  });
  checkCulprit(t, played, 'draft');
  checkSound(t, played);
});

test('a request without a prompt goes on crashing endpoints', async t => {
  const played = await play(t, {
    culprits: {
      read: {path: '/read/deadly'},
      record: {path: '/record/1', body: ['deadly record']},
    },
    culpritOf: ({url, body}) => {
      if (url === '/read/deadly') return 'read';
      return body === 'deadly record' ? 'record' : undefined;
    },
  });
  checkCulprit(t, played, 'read');
  checkCulprit(t, played, 'record');
  checkSound(t, played);
});

test('two requests that crash endpoints hide each other beside an outage and a host that starts', async t => {
  const played = await play(t, {
    culprits: {
      first: draft('deadly first'),
      second: draft('deadly second'),
    },
    culpritOf: ({body}) =>
      body.startsWith('deadly') ? body.slice('deadly '.length) : undefined,
    disturb: async (fleet, endpoints, hosts) => {
      await wait(600);
      endpoints.slice(0, 2).forEach(endpoint => endpoint.crash());
      await wait(900);
      endpoints.slice(2, 4).forEach(endpoint => endpoint.crash());
      const [host] = hosts;
      if (!host) return;
      host.child.kill('SIGKILL');
      await host.ended;
      hosts[0] = fleet.restart(host);
      await fleet.ready(hosts[0]);
    },
  });
  checkCulprit(t, played, 'first');
  checkCulprit(t, played, 'second');
  checkSound(t, played);
});

test('a request that crashes endpoints crashes more of them after all hosts were killed', async t => {
  let returnedAt = Infinity;
  const played = await play(t, {
    culprits: {draft: draft('deadly draft')},
    culpritOf: ({body}) => (body === 'deadly draft' ? 'draft' : undefined),
    disturb: async (fleet, _, hosts) => {
      await wait(KILL_MILLISECONDS);
      const before = [...hosts];
      for (const {child} of before) child.kill('SIGKILL');
      await Promise.all(before.map(({ended}) => ended));
      for (const [index, host] of before.entries())
        hosts[index] = fleet.restart(host);
      await Promise.all(hosts.map(host => fleet.ready(host)));
      returnedAt = performance.now();
    },
  });
  const arrivals = played.endpoints.flatMap(endpoint => endpoint.guilty);
  t.true(arrivals.length >= KNOWN_AFTER_CRASHES);
  t.deepEqual(
    arrivals.filter(at => at > returnedAt),
    [],
  );
  checkSound(t, played);
});
