/**
 * What hosts make of crashes: which part of a prompt they block, what clears a
 * part, and how they agree. Hosts exchange messages in memory.
 */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import {SILENT} from './support/silent.js';
import {Metrics} from '../source/metrics/index.js';
import {
  addCrash,
  block,
  clearSuspect,
  EMPTY_BLOCKLIST,
  entriesOf,
  hasRoom,
  isBlocked,
  lift,
  merge,
  NO_EVIDENCE,
  keyOf,
  Quarantine,
  RequestTraits,
  suspectOf,
  suspectsToBlock,
  withoutExpired,
  CrashDetector,
  type CutRequest,
  type EndpointCrash,
  type Evidence,
  type Explanations,
} from '../source/quarantine/index.js';
import {seededRandom} from '../source/random/index.js';
import {createEndpoint} from './support/forwarding.js';

const NOTHING: Explanations = new Map();
const MINUTE_MILLISECONDS = 60_000;

/** What may crash endpoints in a request with these parts. */
function traitsOf(parts: readonly string[], body = 'text'): RequestTraits {
  return new RequestTraits(
    {
      method: 'POST',
      host: 'phrases.example',
      url: '/drafts/new',
      team: 'editors',
      body: Buffer.from(body),
    },
    parts,
  );
}

/** The id of the one part that the evidence condemns. */
function partToBlock(
  evidence: Evidence,
  explanations: Explanations,
): string | undefined {
  const [key, ...others] = suspectsToBlock(evidence, explanations);
  if (key === undefined || others.length > 0) return undefined;
  const {kind, id} = suspectOf(key);
  return kind === 'part' ? id : undefined;
}

function clearPart(before: Evidence, id: string, at: number): Evidence {
  return clearSuspect(before, keyOf({kind: 'part', id}), at);
}

/** A crash that cut one request with these parts, sent 10 ms before. */
function crash(
  before: Evidence,
  at: number,
  parts: readonly string[],
  sentAt = at - 10,
): Evidence {
  const suspects = parts.map((id, position) => {
    return {key: keyOf({kind: 'part', id}), sentAt, position, team: ''};
  });
  return addCrash(before, {endpoint: `engine ${at}`, at, suspects});
}

test('the part that is in every crash is blocked, not those that are in some', t => {
  let evidence = crash(NO_EVIDENCE, 100, ['glossary', 'subject-1', 'bad']);
  evidence = crash(evidence, 200, ['glossary', 'subject-2', 'bad']);
  t.is(partToBlock(evidence, NOTHING), undefined);
  evidence = crash(evidence, 300, ['glossary', 'subject-1', 'bad']);
  t.is(partToBlock(evidence, NOTHING), 'bad');
});

test('a part with which an answer has begun since the crashes is not blocked', t => {
  let evidence = NO_EVIDENCE;
  for (const at of [100, 200, 300])
    evidence = crash(evidence, at, ['glossary']);
  t.is(partToBlock(evidence, NOTHING), 'glossary');
  t.is(partToBlock(clearPart(evidence, 'glossary', 299), NOTHING), 'glossary');
  t.is(partToBlock(clearPart(evidence, 'glossary', 301), NOTHING), undefined);
});

test('endpoints that end at once, as in the outage of a zone, are one crash', t => {
  let evidence = NO_EVIDENCE;
  for (const at of [100, 101, 102, 103, 104])
    evidence = crash(evidence, at, ['glossary'], 50);
  t.is(partToBlock(evidence, NOTHING), undefined);
});

test('a part that is in few of the endpoints that crash meanwhile is not blocked', t => {
  let evidence = NO_EVIDENCE;
  for (const at of [100, 200, 300]) {
    evidence = crash(evidence, at, ['glossary']);
    evidence = crash(evidence, at + 1, []);
  }
  t.is(partToBlock(evidence, NOTHING), undefined);
});

test('reports of one crash by several hosts count once', t => {
  let evidence = NO_EVIDENCE;
  for (let report = 0; report < 5; report++)
    evidence = crash(evidence, 100, ['glossary']);
  t.is(partToBlock(evidence, NOTHING), undefined);
});

test('suspicions lapse a minute after the last crash', t => {
  let evidence = crash(NO_EVIDENCE, 100, ['glossary']);
  evidence = crash(evidence, 200, ['glossary']);
  evidence = crash(evidence, 200 + MINUTE_MILLISECONDS + 1, ['other']);
  t.deepEqual([...evidence.suspicions.keys()], ['part other']);
});

test('a host that was told of a lifted block does not block again by an older entry', t => {
  const blocked = block(EMPTY_BLOCKLIST, 'part bad', 0);
  const lifted = lift(blocked, 'part bad', 10);
  const stale = entriesOf(blocked, 10);
  t.false(isBlocked(merge(lifted, stale, 20), 'part bad'));
  t.false(isBlocked(merge(blocked, entriesOf(lifted, 10), 20), 'part bad'));
  const again = block(lifted, 'part bad', 30);
  t.true(isBlocked(merge(lifted, entriesOf(again, 30), 30), 'part bad'));
});

test('entries that lapse do not come back from other hosts', t => {
  const lifted = lift(block(EMPTY_BLOCKLIST, 'part bad', 0), 'part bad', 0);
  t.is(withoutExpired(lifted, MINUTE_MILLISECONDS + 1).size, 0);
  t.is(merge(EMPTY_BLOCKLIST, entriesOf(lifted, 10), 10).size, 0);
  const blocked = block(EMPTY_BLOCKLIST, 'part bad', 0);
  const hour = 60 * MINUTE_MILLISECONDS;
  const end = hour + MINUTE_MILLISECONDS;
  t.is(withoutExpired(blocked, end + 1).size, 0);
  t.is(merge(EMPTY_BLOCKLIST, entriesOf(blocked, end), end).size, 0);
});

test('only so many parts are blocked', t => {
  let blocklist = EMPTY_BLOCKLIST;
  let count = 0;
  for (; hasRoom(blocklist, 'part another'); count++)
    blocklist = block(blocklist, `part ${count}`, 0);
  t.is(count, 32);
});

/** The id of what a request with these parts is refused for. */
function blockedId(
  quarantine: Quarantine,
  parts: readonly string[],
): string | undefined {
  return quarantine.blockedSuspect(traitsOf(parts))?.id;
}

/** Hosts whose messages arrive at once. */
class Hosts {
  readonly clock = new ManualClock();
  readonly ended: string[] = [];
  private readonly quarantines: Quarantine[] = [];
  private readonly names: string[] = [];

  constructor(count: number) {
    for (let index = 0; index < count; index++) this.add();
  }

  add(): Quarantine {
    const host = `host-${this.names.length}`;
    const others = () => this.quarantines.filter(other => other !== quarantine);
    const quarantine: Quarantine = new Quarantine({
      host,
      hosts: () => this.names,
      clock: this.clock,
      logger: SILENT,
      metrics: new Metrics(),
      random: seededRandom(this.names.length),
      sendCrash: report =>
        others().forEach(other => other.handleCrashReport(report)),
      sendBegun: parts => others().forEach(other => other.handleBegun(parts)),
      onChange: () => {},
      onBlocked: ({id}) => this.ended.push(`${host} ${id}`),
      onEndpointCrashed: () => {},
    });
    this.names.push(host);
    this.quarantines.push(quarantine);
    return quarantine;
  }

  at(index: number): Quarantine {
    return this.quarantines[index] as Quarantine;
  }

  /** A request of a host that an endpoint cuts when it crashes. */
  crash(host: number, endpoint: string, parts: readonly string[]): void {
    this.clock.advance(100);
    this.at(host).handleCrashReport({
      endpoint,
      ago: 0,
      suspects: parts.map((part, position) => {
        return {kind: 'part', part, sentAgo: 50, position, team: ''};
      }),
    });
    for (const [index, other] of this.quarantines.entries()) {
      if (index === host) continue;
      other.handleCrashReport({
        endpoint,
        ago: 0,
        suspects: parts.map((part, position) => {
          return {kind: 'part', part, sentAgo: 50, position, team: ''};
        }),
      });
    }
  }

  /** Which hosts block a part. */
  blocking(part: string): boolean[] {
    return this.quarantines.map(
      quarantine => blockedId(quarantine, [part]) === part,
    );
  }
}

test('hosts that each see another crash come to the same verdict', t => {
  const hosts = new Hosts(3);
  hosts.crash(0, 'engine-1', ['glossary', 'bad']);
  hosts.crash(1, 'engine-2', ['glossary', 'bad']);
  hosts.at(2).recordBegun(traitsOf(['glossary']));
  hosts.clock.advance(10);
  hosts.crash(2, 'engine-3', ['glossary', 'bad']);
  t.deepEqual(hosts.blocking('bad'), [true, true, true]);
  t.deepEqual(hosts.blocking('glossary'), [false, false, false]);
  t.is(hosts.ended.length, 3);
});

test('a part that is answered at one host is not blocked at another', t => {
  const hosts = new Hosts(2);
  for (let crash = 0; crash < 9; crash++) {
    hosts.crash(0, `engine-${crash}`, ['glossary', `subject-${crash}`]);
    hosts.at(1).recordBegun(traitsOf(['glossary']));
    hosts.clock.advance(10);
  }
  t.deepEqual(hosts.blocking('glossary'), [false, false]);
});

test('a part that was answered shortly before an outage is not blocked', t => {
  const hosts = new Hosts(2);
  hosts.at(1).recordBegun(traitsOf(['glossary']));
  for (const endpoint of ['1', '2', '3'])
    hosts.crash(0, endpoint, ['glossary']);
  hosts.at(1).handleEntries(hosts.at(0).entries);
  hosts.at(0).handleEntries(hosts.at(1).entries);
  t.deepEqual(hosts.blocking('glossary'), [false, false]);
});

test('a host that has just started learns from a pulse what others block', t => {
  const hosts = new Hosts(2);
  for (const endpoint of ['1', '2', '3']) hosts.crash(0, endpoint, ['bad']);
  const late = hosts.add();
  t.is(blockedId(late, ['bad']), undefined);
  late.handleEntries(hosts.at(0).entries);
  t.is(blockedId(late, ['bad']), 'bad');
});

test('of parts that always come together the wrong one is let go when the crashes go on', t => {
  const hosts = new Hosts(1);
  for (const endpoint of ['1', '2', '3'])
    hosts.crash(0, endpoint, ['bad', 'companion']);
  t.is(blockedId(hosts.at(0), ['companion']), 'companion');
  for (const endpoint of ['4', '5', '6']) hosts.crash(0, endpoint, ['bad']);
  t.is(blockedId(hosts.at(0), ['bad']), 'bad');
  t.is(blockedId(hosts.at(0), ['companion']), undefined);
});

test('one host in all tries one request when a review is due, and an answer lifts the block', t => {
  const hosts = new Hosts(4);
  for (const endpoint of ['1', '2', '3']) hosts.crash(0, endpoint, ['bad']);
  hosts.clock.advance(MINUTE_MILLISECONDS - 1);
  t.true(hosts.blocking('bad').every(Boolean));
  hosts.clock.advance(1);
  const blocking = hosts.blocking('bad');
  t.is(blocking.filter(isBlocking => !isBlocking).length, 1);
  t.true(hosts.blocking('bad').every(Boolean), 'a second one was tried');
  const reviewer = hosts.at(blocking.indexOf(false));
  reviewer.recordBegun(traitsOf(['bad']));
  hosts.clock.advance(10);
  t.true(hosts.blocking('bad').every(isBlocking => !isBlocking));
});

test('an operator lifts a block, and other hosts follow', t => {
  const hosts = new Hosts(2);
  for (const endpoint of ['1', '2', '3']) hosts.crash(0, endpoint, ['bad']);
  t.true(hosts.at(0).lift({kind: 'part', id: 'bad'}));
  t.false(hosts.at(0).lift({kind: 'part', id: 'bad'}));
  hosts.at(1).handleEntries(hosts.at(0).entries);
  t.deepEqual(hosts.blocking('bad'), [false, false]);
});

/** A request that an endpoint has cut. */
function cutAt(id: string, events = 0): CutRequest {
  const endpoint = createEndpoint(id, '127.0.0.1:1');
  return {
    endpoint,
    request: 'r',
    traits: traitsOf(['bad']),
    sentAt: 0,
    events,
  };
}

test('requests that one endpoint cuts are one crash, and none if it still accepts connections', async t => {
  const crashes: EndpointCrash[] = [];
  let isUp = false;
  const detector = new CrashDetector({
    clock: new ManualClock(),
    accepts: () => Promise.resolve(isUp),
    onCrash: found => crashes.push(found),
  });
  const first = detector.recordCut(cutAt('engine-1'));
  await Promise.all([first, detector.recordCut(cutAt('engine-1', 3))]);
  t.deepEqual(
    crashes.map(({requests}) => requests.length),
    [2],
  );
  isUp = true;
  await detector.recordCut(cutAt('engine-2'));
  t.is(crashes.length, 1);
  await detector.recordCut(cutAt('engine-1'));
  t.is(crashes.length, 2, 'one that is noticed late belongs to the crash');
});
