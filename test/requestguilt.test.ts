/**
 * Which requests and parts of prompts hosts hold to account for crashes, where
 * sound requests are cut by the same crashes.
 */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import {Metrics} from '../source/metrics/index.js';
import {
  addCrash,
  block,
  clearSuspect,
  EMPTY_BLOCKLIST,
  fingerprintOf,
  isDoubtful,
  isTooRisky,
  keyOf,
  NO_EVIDENCE,
  Quarantine,
  requestToYield,
  RequestTraits,
  suspectsToBlock,
  type CrashReport,
  type Evidence,
  type Explanations,
  type SuspectKey,
} from '../source/quarantine/index.js';
import {seededRandom} from '../source/random/index.js';
import {SILENT} from './support/silent.js';

const NOTHING: Explanations = new Map();
const REQUEST_KEY = keyOf({kind: 'request', id: 'guilty'});
const SOUND_KEY = keyOf({kind: 'request', id: 'sound'});
const PART_KEY = keyOf({kind: 'part', id: 'glossary'});

/** A crash that cut requests with these suspects, sent some time before. */
function crash(
  before: Evidence,
  at: number,
  keys: readonly SuspectKey[],
  {sentAt = at - 10, team = 'editors'} = {},
): Evidence {
  const suspects = keys.map(key => ({key, sentAt, position: 0, team}));
  return addCrash(before, {endpoint: `engine ${at}`, at, suspects});
}

/** Crashes a second apart, each with the suspects of its turn. */
function crashes(turns: ReadonlyArray<readonly SuspectKey[]>): Evidence {
  return turns.reduce(
    (evidence, keys, index) => crash(evidence, (index + 1) * 1_000, keys),
    NO_EVIDENCE,
  );
}

/** The endpoints of the crashes of these turns. */
function endpointsOf(...turns: readonly number[]): ReadonlySet<string> {
  return new Set(turns.map(turn => `engine ${turn * 1_000}`));
}

test('a part that sound requests share is blocked for one request that crashes endpoints', t => {
  const evidence = crashes([
    [REQUEST_KEY, PART_KEY],
    [REQUEST_KEY, PART_KEY],
    [REQUEST_KEY, PART_KEY],
  ]);
  t.deepEqual(suspectsToBlock(evidence, NOTHING), [REQUEST_KEY]);
  const explanations = new Map([[REQUEST_KEY, endpointsOf(1, 2, 3)]]);
  t.deepEqual(suspectsToBlock(evidence, explanations), []);
  t.false(isTooRisky(evidence, PART_KEY, explanations));
});

test('a part that two requests share is blocked for their crashes', t => {
  const other = keyOf({kind: 'request', id: 'other'});
  const evidence = crashes([
    [REQUEST_KEY, PART_KEY],
    [other, PART_KEY],
    [REQUEST_KEY, PART_KEY],
    [other, PART_KEY],
  ]);
  t.deepEqual(suspectsToBlock(evidence, NOTHING), []);
});

test('a part that crashes endpoints in each of three requests is not blocked', t => {
  const requests = ['one', 'two', 'three'].map(id =>
    keyOf({kind: 'request', id}),
  );
  const evidence = crashes(requests.map(key => [key, PART_KEY]));
  t.deepEqual(suspectsToBlock(evidence, NOTHING), [PART_KEY]);
});

test('two requests that crash endpoints in turn hide each other', t => {
  const other = keyOf({kind: 'request', id: 'other'});
  const turns = [[REQUEST_KEY], [other], [REQUEST_KEY], [other], [REQUEST_KEY]];
  t.deepEqual(suspectsToBlock(crashes(turns), NOTHING), [REQUEST_KEY]);
  const evidence = crashes([...turns, [other]]);
  const explanations = new Map([[REQUEST_KEY, endpointsOf(1, 3, 5)]]);
  t.deepEqual(suspectsToBlock(evidence, explanations), [other]);
});

test('an answer to one request acquits another request', t => {
  const evidence = crashes([[REQUEST_KEY], [REQUEST_KEY], [REQUEST_KEY]]);
  const after = clearSuspect(evidence, SOUND_KEY, 9_000);
  t.deepEqual(suspectsToBlock(after, NOTHING), [REQUEST_KEY]);
  t.deepEqual(
    suspectsToBlock(clearSuspect(after, REQUEST_KEY, 9_000), NOTHING),
    [],
  );
});

test('copies of a sound request that one outage cuts count more than once', t => {
  let evidence = NO_EVIDENCE;
  for (const at of [1_000, 1_010, 1_020, 1_030])
    evidence = crash(evidence, at, [SOUND_KEY], {sentAt: 900});
  t.false(isTooRisky(evidence, SOUND_KEY, NOTHING));
});

test('copies of a request that endpoints run at the same time count once', t => {
  let evidence = NO_EVIDENCE;
  for (const at of [1_000, 1_300, 1_600])
    evidence = crash(evidence, at, [REQUEST_KEY], {sentAt: 900});
  t.deepEqual(suspectsToBlock(evidence, NOTHING), [REQUEST_KEY]);
});

test('a verdict is certain although other endpoints crashed at that moment', t => {
  const alone = crashes([[REQUEST_KEY], [REQUEST_KEY], [REQUEST_KEY]]);
  t.false(isDoubtful(alone, REQUEST_KEY, NOTHING));
  const beside = crash(alone, 2_050, []);
  t.true(isDoubtful(beside, REQUEST_KEY, NOTHING));
  const together = new Map([[SOUND_KEY, endpointsOf(1, 2, 3)]]);
  t.true(isDoubtful(alone, REQUEST_KEY, together));
});

test('a team with many requests on crashing endpoints makes hosts forget those of others', t => {
  let evidence = crash(NO_EVIDENCE, 1_000, [REQUEST_KEY]);
  for (let number = 0; number < 1_000; number++) {
    const key = keyOf({kind: 'request', id: `flood ${number}`});
    evidence = crash(evidence, 2_000 + number, [key], {team: 'flooders'});
  }
  t.true(evidence.suspicions.has(REQUEST_KEY));
  t.true(evidence.suspicions.size < 300);
  let blocklist = block(EMPTY_BLOCKLIST, REQUEST_KEY, 0, {team: 'editors'});
  let first: SuspectKey | undefined;
  for (let number = 0; first === undefined; number++) {
    const key = keyOf({kind: 'request', id: `flood ${number}`});
    blocklist = block(blocklist, key, 0, {team: 'flooders'});
    first = requestToYield(blocklist, 'flooders');
  }
  t.is(first, keyOf({kind: 'request', id: 'flood 0'}));
  t.is(requestToYield(blocklist, 'editors'), undefined);
});

test('requests that are not alike have one fingerprint', t => {
  const content = {
    method: 'POST',
    host: 'phrases.example',
    url: '/drafts/new?a=1',
    team: 'editors',
    body: Buffer.from('text'),
  };
  const changed = [
    {method: 'PUT'},
    {host: 'other.example'},
    {url: '/drafts/new?a=2'},
    {team: 'guides'},
    {body: Buffer.from('Text')},
    // Moves the border between two fields.
    {url: '/drafts/new?a=1","editors', team: ''},
  ].map(change => fingerprintOf({...content, ...change}));
  t.is(new Set([fingerprintOf(content), ...changed]).size, 7);
  t.is(
    fingerprintOf(content),
    fingerprintOf({...content, body: Buffer.from('text')}),
  );
});

/** Hosts whose messages arrive at once; `isCutOff` names those that get none. */
class Fleet {
  readonly clock = new ManualClock();
  readonly hosts: Quarantine[] = [];
  private readonly names: string[] = [];

  add(): Quarantine {
    const name = `host-${this.names.length}`;
    const others = () => this.hosts.filter(other => other !== host);
    const host: Quarantine = new Quarantine({
      host: name,
      hosts: () => this.names,
      clock: this.clock,
      logger: SILENT,
      metrics: new Metrics(),
      random: seededRandom(this.names.length),
      sendCrash: report =>
        others().forEach(other => other.handleCrashReport(report)),
      sendBegun: begun => others().forEach(other => other.handleBegun(begun)),
      onChange: () => {},
      onBlocked: () => {},
      onEndpointCrashed: () => {},
    });
    this.names.push(name);
    this.hosts.push(host);
    return host;
  }

  /** All hosts hear that a crash cut a request. */
  crash(endpoint: string, traits: RequestTraits): void {
    this.clock.advance(1_000);
    const report: CrashReport = {
      endpoint,
      ago: 0,
      suspects: [
        {
          kind: 'request',
          part: traits.fingerprint,
          team: traits.team,
          sentAgo: 50,
          position: 0,
        },
      ],
    };
    for (const host of this.hosts) host.handleCrashReport(report);
  }
}

function traitsOf(body: string): RequestTraits {
  const content = {
    method: 'GET',
    host: 'phrases.example',
    url: '/read/1',
    team: 'editors',
    body: Buffer.from(body),
  };
  return new RequestTraits(content, []);
}

test('a host that starts between the crashes does not know the request after the third', t => {
  const fleet = new Fleet();
  const traits = traitsOf('deadly');
  const first = fleet.add();
  fleet.crash('engine-1', traits);
  fleet.crash('engine-2', traits);
  const late = fleet.add();
  for (const report of first.reportsForNewHost('host-1'))
    late.handleCrashReport(report);
  t.true(late.isSuspect(traits));
  fleet.crash('engine-3', traits);
  t.is(late.blockedSuspect(traits)?.kind, 'request');
  t.is(first.blockedSuspect(traits)?.kind, 'request');
});

test('a host that starts after many verdicts learns a part of them only', t => {
  const fleet = new Fleet();
  const first = fleet.add();
  const deadly = Array.from({length: 9}, (_, index) => traitsOf(`${index}`));
  for (const [index, traits] of deadly.entries())
    for (const turn of ['a', 'b', 'c'])
      fleet.crash(`engine-${index}${turn}`, traits);
  const late = fleet.add();
  for (let pulse = 0; pulse < 3; pulse++)
    late.handleEntries(first.takeEntriesForPulse());
  for (const traits of deadly)
    t.is(late.blockedSuspect(traits)?.kind, 'request');
});

test('a request is blocked for good although endpoints answer it again', t => {
  const fleet = new Fleet();
  const first = fleet.add();
  const second = fleet.add();
  const traits = traitsOf('deadly');
  for (const endpoint of ['engine-1', 'engine-2', 'engine-3'])
    fleet.crash(endpoint, traits);
  t.is(second.blockedSuspect(traits)?.kind, 'request');
  fleet.clock.advance(60_000);
  const refusing = fleet.hosts.filter(host => host.blockedSuspect(traits));
  t.is(refusing.length, 1, 'one host lets one request through');
  t.true(fleet.hosts.every(host => host.blockedSuspect(traits)));
  const reviewer = refusing[0] === first ? second : first;
  reviewer.recordBegun(traits);
  fleet.clock.advance(10);
  t.true(fleet.hosts.every(host => !host.blockedSuspect(traits)));
});

test('a request that many send and endpoints answer is blocked when crashes cut it in a row', t => {
  const fleet = new Fleet();
  const host = fleet.add();
  const traits = traitsOf('popular');
  fleet.crash('engine-1', traits);
  host.recordBegun(traits);
  for (const endpoint of ['engine-2', 'engine-3', 'engine-4'])
    fleet.crash(endpoint, traits);
  t.is(host.blockedSuspect(traits), undefined);
  fleet.clock.advance(10_000);
  fleet.crash('engine-5', traits);
  t.is(host.blockedSuspect(traits)?.kind, 'request');
});
