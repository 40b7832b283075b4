/**
 * Which host appends to the store for the others of its zone. Hosts that derive
 * different ones, or one of another zone, would append as often as before.
 */
import test from 'ava';

import {ZoneRecorder} from '../source/edge/zonerecorder.js';
import type {HostAddress} from '../source/gossip/index.js';

const ZONES = ['palermo', 'catania', 'siracusa'];

function fleetOf(size: number): HostAddress[] {
  return Array.from({length: size}, (_, index) => ({
    name: `host-${index}`,
    started: 1,
    address: `10.0.0.${index}:1`,
    zone: ZONES[index % ZONES.length] ?? '',
  }));
}

function recorderOf(self: HostAddress, fleet: readonly HostAddress[]) {
  const hosts = () => fleet.filter(({name}) => name !== self.name);
  return new ZoneRecorder({self, hosts, send: () => {}}).name ?? self.name;
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
