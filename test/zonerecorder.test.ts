/**
 * Which host appends to the store for the others of its zone. Hosts that derive
 * different ones, or one of another zone, would append as often as before.
 */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import {ZoneRecorder} from '../source/edge/zonerecorder.js';
import type {HostAddress} from '../source/gossip/index.js';
import {SILENT} from './support/silent.js';

const ZONES = ['palermo', 'catania', 'siracusa'];

function fleetOf(size: number): HostAddress[] {
  return Array.from({length: size}, (_, index) => ({
    name: `host-${index}`,
    started: 1,
    address: `10.0.0.${index}:1`,
    zone: ZONES[index % ZONES.length] ?? '',
  }));
}

const clock = new ManualClock();

function zoneRecorder(self: HostAddress, hosts: () => HostAddress[]) {
  const send = () => {};
  return new ZoneRecorder({self, clock, hosts, send, logger: SILENT});
}

function recorderOf(self: HostAddress, fleet: readonly HostAddress[]) {
  const hosts = () => fleet.filter(({name}) => name !== self.name);
  return zoneRecorder(self, hosts).name ?? self.name;
}

test('in a large fleet all hosts of a zone have the same recorder, of their zone', t => {
  const fleet = fleetOf(61);
  for (const zone of ZONES) {
    const hosts = fleet.filter(host => host.zone === zone);
    const recorders = new Set(hosts.map(host => recorderOf(host, fleet)));
    t.is(recorders.size, 1);
    const [name] = recorders;
    t.is(fleet.find(host => host.name === name)?.zone, zone);
  }
});

test('in a small fleet each host appends itself', t => {
  const fleet = fleetOf(12);
  for (const host of fleet) t.is(recorderOf(host, fleet), host.name);
});

test('hosts whose recorder has not confirmed what it got use the next one, all the same, for a while', t => {
  const fleet = fleetOf(61);
  const zone = fleet.filter(host => host.zone === ZONES[0]);
  const [first] = zone;
  if (!first) return t.fail('no host');
  const dead = recorderOf(first, fleet);
  const others = zone.filter(({name}) => name !== dead);
  const recorders = others.map(self =>
    zoneRecorder(self, () => fleet.filter(({name}) => name !== self.name)),
  );
  for (const recorder of recorders) recorder.noteMissed(dead);
  const names = () =>
    new Set(recorders.map(({name}, index) => name ?? others[index]?.name));
  t.is(names().size, 1);
  t.false(names().has(dead));
  clock.advance(10_000);
  t.deepEqual([...names()], [dead]);
});

test('a recorder that has started anew is used again at once', t => {
  let fleet = fleetOf(61);
  const [self] = fleet;
  if (!self) return t.fail('no host');
  const recorder = zoneRecorder(self, () => fleet.slice(1));
  const {name} = recorder;
  if (name === undefined) return t.fail('it is the recorder itself');
  recorder.noteMissed(name);
  t.not(recorder.name, name);
  fleet = fleet.map(host =>
    host.name === name ? {...host, started: 2} : host,
  );
  t.is(recorder.name, name);
});
