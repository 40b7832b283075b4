/**
 * The limits that endpoints name: which statement holds, how hosts pass it on,
 * and what a host sends to such an endpoint.
 */
import test from 'ava';

import {EndpointSelector, NamedLimits} from '../source/balance/index.js';
import {ManualClock} from '../source/clock/index.js';
import {createEndpoint} from './support/forwarding.js';

const SERVICE = 'drafting';

/** A selector that knows two endpoints, on one of some hosts. */
class Fixture {
  readonly clock = new ManualClock();
  readonly selector: EndpointSelector;
  readonly changes: Array<number | undefined> = [];

  constructor(hosts: readonly string[] = ['host-1']) {
    this.selector = new EndpointSelector({
      host: 'host-1',
      zone: 'palermo',
      clock: this.clock,
      regions: {},
      onLimitChange: ({rate}) => this.changes.push(rate),
    });
    const service = {name: SERVICE, healthPath: '/health', coldRate: 0};
    this.selector.setServices(new Map([[SERVICE, service]]));
    this.selector.setHosts(hosts);
    const engines = ['engine-1', 'engine-2'].map(id =>
      createEndpoint(id, '127.0.0.1:1'),
    );
    this.selector.setDirectory(
      new Map(engines.map(known => [known.entry.id, known])),
    );
  }

  /** Sends requests that end at once; returns how many an endpoint got. */
  send(count: number, id: string, limit?: number): number {
    let got = 0;
    for (let sent = 0; sent < count; sent++) {
      const reservation = this.selector.reserve({
        service: SERVICE,
        prompt: undefined,
        tier: 0,
        failedEndpoints: new Set(),
      });
      if (!reservation) continue;
      if (reservation.endpoint.entry.id === id) {
        got++;
        if (limit !== undefined) reservation.limited(limit);
      }
      reservation.release();
    }
    return got;
  }
}

test('an endpoint gets no more than the limit that it has named, and the rest goes to others', t => {
  const fixture = new Fixture();
  t.is(fixture.send(1, 'engine-1', 2) + fixture.send(1, 'engine-1', 2), 1);
  let got = 0;
  for (let step = 0; step < 80; step++) {
    fixture.clock.advance(50);
    got += fixture.send(4, 'engine-1', 2);
  }
  t.true(got <= 8, `${got} in 4 s`);
  t.true(got >= 6, `${got} in 4 s`);
  t.deepEqual(fixture.changes, [2]);
});

test('a response without a limit ends it', t => {
  const fixture = new Fixture();
  fixture.selector.setLimitReports([{id: 'engine-1', rate: 0.5, ago: 0}]);
  t.true(fixture.send(20, 'engine-1') <= 1);
  fixture.selector.setLimitReports([{id: 'engine-1', ago: 0}]);
  t.true(fixture.send(20, 'engine-1') <= 1, 'it is not newer');
  fixture.clock.advance(10);
  fixture.selector.setLimitReports([{id: 'engine-1', ago: 0}]);
  t.is(fixture.send(20, 'engine-1'), 10);
  t.deepEqual(fixture.changes, [0.5, undefined]);
});

test('a host learns a limit from another host, and only some hosts send', t => {
  const hosts = Array.from({length: 6}, (_, index) => `host-${index}`);
  const fixture = new Fixture(hosts);
  fixture.selector.setLimitReports([{id: 'engine-1', rate: 1.3, ago: 5}]);
  fixture.selector.setLimitReports([{id: 'engine-2', rate: 1.3, ago: 5}]);
  const got = fixture.send(20, 'engine-1') + fixture.send(20, 'engine-2');
  t.true(got <= 2, `${got} at once`);
});

test('health checks count towards the limit', t => {
  const fixture = new Fixture();
  const known = createEndpoint('engine-1', '127.0.0.1:1');
  t.true(fixture.selector.reserveProbe(known));
  t.true(fixture.selector.reserveProbe(known));
  fixture.selector.setLimitReports([{id: 'engine-1', rate: 1, ago: 0}]);
  t.true(fixture.selector.reserveProbe(known));
  t.false(fixture.selector.reserveProbe(known));
});

test('a limit about which nothing is heard lapses', t => {
  const fixture = new Fixture();
  fixture.selector.setLimitReports([{id: 'engine-1', rate: 0.1, ago: 0}]);
  t.true(fixture.send(20, 'engine-1') <= 1);
  fixture.clock.advance(20_001);
  t.is(fixture.send(20, 'engine-1'), 10);
});

test('a host passes on what it was told itself, once with its age', t => {
  const limits = new NamedLimits(() => {});
  limits.recordOwn('engine-1', 2, 100);
  limits.recordReport({id: 'engine-2', rate: 3, ago: 0}, 100);
  t.deepEqual(limits.statementsSince(0, 150), [
    {id: 'engine-1', rate: 2, ago: 50},
  ]);
  t.deepEqual(limits.statementsSince(101, 150), []);
});

test('of two statements the later one holds, whoever received it', t => {
  const limits = new NamedLimits(() => {});
  limits.recordOwn('engine-1', 2, 100);
  limits.recordReport({id: 'engine-1', rate: 5, ago: 60}, 150);
  t.is(limits.rate('engine-1', 150), 2);
  limits.recordReport({id: 'engine-1', rate: 5, ago: 20}, 150);
  t.is(limits.rate('engine-1', 150), 5);
  limits.remove('engine-1');
  t.is(limits.rate('engine-1', 150), undefined);
});
