/**
 * Limits that hold over all hosts, though each decides alone: requests to an
 * endpoint in its cold start (invariant 8), and repeats. Hosts may disagree
 * about who there is.
 */
import test from 'ava';
import fc from 'fast-check';

import {
  coldShare,
  counted,
  mayAdd,
  mayRepeat,
  NO_REPEATS,
  ownPlaces,
  withSend,
  type ColdSends,
  type RepeatCount,
} from '../source/balance/index.js';
import {holds, isSeenToFail} from './support/fuzz.js';

/** The bound of the users' rules for a rate of 12 requests a second. */
const COLD_RATE = 12;
const COLD_MOST = COLD_RATE * 1.5 + 5;
const SECOND = 1_000;

type Share = typeof coldShare;

function namesOf(count: number): string[] {
  return Array.from({length: count}, (_, index) => `host-${index}`);
}

/** The most requests in any second, with every host sending all it may. */
function mostInOneSecond(share: Share, views: readonly string[][]): number {
  const sends = new Map<string, ColdSends>();
  const at: number[] = [];
  for (let now = 0; now < 3 * SECOND; now += 20) {
    for (const [index, view] of views.entries()) {
      const name = `host-${index}`;
      const before = sends.get(name) ?? [];
      const most = share('engine-1', COLD_RATE, name, view);
      if (!mayAdd(before, most, now)) continue;
      sends.set(name, withSend(before, now));
      at.push(now);
    }
  }
  const windows = at.map(
    from => at.filter(time => time >= from && time < from + SECOND).length,
  );
  return Math.max(0, ...windows);
}

/** What each host sees: all of them, less one that it has not heard of. */
function viewsOf(count: number, unseen: number): string[][] {
  const all = namesOf(count);
  return all.map((name, index) =>
    all.filter((other, at) => other === name || (index + at) % 7 !== unseen),
  );
}

function coldProperty(share: Share) {
  const counts = fc.integer({min: 1, max: 90});
  return fc.property(counts, fc.integer({min: 0, max: 7}), (count, unseen) => {
    const most = mostInOneSecond(share, viewsOf(count, unseen));
    return unseen === 7 ? most <= COLD_RATE : most <= COLD_MOST;
  });
}

test('a cold endpoint gets no more than it bears, whatever the number of hosts', t => {
  holds(t, coldProperty(coldShare), 60);
});

test('the check notices a share for each host', t => {
  isSeenToFail(
    t,
    coldProperty((_, rate, __, hosts) => Math.ceil(rate / hosts.length) + 1),
    60,
  );
});

test('some host may always send to a cold endpoint, at any rate', t => {
  for (const rate of [0.4, 1, 2, 2.9, COLD_RATE, 40]) {
    for (const count of [1, 2, 3, 6, 60]) {
      const hosts = namesOf(count);
      const shares = hosts.map(host => coldShare('e', rate, host, hosts));
      t.true(shares.some(share => share > 0));
      const sum = shares.reduce((total, share) => total + share, 0);
      t.true(sum <= Math.max(rate, 1));
    }
  }
});

const BOUND = {ratio: 0.2, allowance: 52, window: 10_000};

test('repeats of all hosts stay within the bound of any window', t => {
  const arrivals = fc.array(
    fc.record({
      host: fc.integer({min: 0, max: 5}),
      wait: fc.integer({min: 0, max: 60}),
      repeats: fc.integer({min: 0, max: 3}),
    }),
    {minLength: 200, maxLength: 600, size: 'max'},
  );
  const property = fc.property(arrivals, list => {
    const counts = new Map<number, RepeatCount>();
    const requests: number[] = [];
    const repeats: number[] = [];
    let now = 0;
    for (const {host, wait, repeats: wanted} of list) {
      now += wait;
      const before = counts.get(host) ?? NO_REPEATS;
      let count = counted(before, 'request', BOUND, now);
      requests.push(now);
      for (let repeat = 0; repeat < wanted; repeat++) {
        if (!mayRepeat(count, BOUND, 6, now)) continue;
        count = counted(count, 'repeat', BOUND, now);
        repeats.push(now);
      }
      counts.set(host, count);
    }
    return repeats.every(to => {
      const inWindow = (at: number) => at > to - BOUND.window && at <= to;
      const most = BOUND.ratio * requests.filter(inWindow).length;
      return repeats.filter(inWindow).length <= most + BOUND.allowance;
    });
  });
  holds(t, property, 60);
});

test('hosts that know nothing of each other do not fill the queues of the engines', t => {
  const works = fc.array(fc.integer({min: 0, max: 500}), {
    minLength: 1,
    maxLength: 90,
  });
  const property = fc.property(works, list => {
    const all = list.reduce((sum, own) => sum + own, 0);
    const hosts = list.length;
    const slots = hosts * 11;
    const filled = list.reduce(
      (sum, own) => sum + ownPlaces({slots, hosts, own, all}),
      0,
    );
    return filled <= slots * 2.25 + 4 * hosts;
  });
  holds(t, property, 500);
});

test('a host alone may fill all places, and one with most of the callers most', t => {
  t.is(ownPlaces({slots: 64, hosts: 1, own: 0, all: 0}), 64);
  t.is(ownPlaces({slots: 64, hosts: 4, own: 90, all: 100}), 64);
  t.true(ownPlaces({slots: 672, hosts: 61, own: 1, all: 61}) < 20);
});
