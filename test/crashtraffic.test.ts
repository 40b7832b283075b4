/**
 * What one crash of an endpoint costs the hosts of a fleet in messages: the hosts
 * whose requests it cut report it, and tell when these are answered elsewhere. The
 * bound is what control may cost a host in a second.
 */
import test from 'ava';
import {encode} from 'cbor-x';

import {ManualClock} from '../source/clock/index.js';
import type {GossipMessage, HostAddress} from '../source/gossip/index.js';
import {Metrics} from '../source/metrics/index.js';
import {Quarantine, RequestTraits} from '../source/quarantine/index.js';
import {seededRandom} from '../source/random/index.js';
import {createEndpoint} from './support/forwarding.js';
import {SILENT} from './support/silent.js';

const CONTROL_BYTES_A_SECOND = 27_000;
const MESSAGE_DELAY_MILLISECONDS = 2;
/** No connection is accepted there. */
const CLOSED_ADDRESS = '127.0.0.1:1';

interface Traffic {
  /** Messages that one host receives, in the mean. */
  readonly received: number;
  readonly receivedBytes: number;
  /** Bytes that the host with the most to say sends. */
  readonly sentBytesMost: number;
  /** Hosts that refuse the request that crashed three endpoints. */
  readonly refusing: number;
}

/** A fleet whose messages are encoded, counted and delivered on a manual clock. */
class Fleet {
  readonly clock = new ManualClock();
  readonly hosts: Quarantine[] = [];
  messages = 0;
  bytes = 0;
  readonly sentBytes: number[] = [];

  constructor(count: number, seed: number) {
    const names = Array.from({length: count}, (_, index) => `host-${index}`);
    for (const [index, host] of names.entries()) {
      const address = `10.0.0.1:${index + 1}`;
      const from = {name: host, started: 1, address, zone: 'palermo'};
      this.hosts.push(this.createHost(from, names, seed + index));
    }
  }

  private createHost(
    from: HostAddress,
    names: readonly string[],
    seed: number,
  ): Quarantine {
    const index = this.hosts.length;
    const send = (message: GossipMessage, take: (host: Quarantine) => void) =>
      this.broadcast(index, message, take);
    return new Quarantine({
      host: from.name,
      hosts: () => names,
      clock: this.clock,
      logger: SILENT,
      metrics: new Metrics(),
      random: seededRandom(seed),
      sendCrash: report =>
        send({kind: 'crash', from, report}, host =>
          host.handleCrashReport(report),
        ),
      sendBegun: begun =>
        send({kind: 'begun', from, parts: [...begun]}, host =>
          host.handleBegun(begun),
        ),
      onChange: () => {},
      onBlocked: () => {},
      onEndpointCrashed: () => {},
    });
  }

  private broadcast(
    from: number,
    message: GossipMessage,
    take: (host: Quarantine) => void,
  ): void {
    const {length} = encode(message);
    const others = this.hosts.filter((_, index) => index !== from);
    this.messages += others.length;
    this.bytes += others.length * length;
    this.sentBytes[from] = (this.sentBytes[from] ?? 0) + others.length * length;
    this.clock.after(MESSAGE_DELAY_MILLISECONDS, () => others.forEach(take));
  }
}

function traitsOf(text: string, subject: number): RequestTraits {
  const content = {
    method: 'POST',
    host: 'phrases.example',
    url: '/drafts/new',
    team: 'editors',
    body: Buffer.from(text),
  };
  return new RequestTraits(content, ['5c1e07a2b3d4', `91bd3f06${subject}`]);
}

/** Plays three crashes by one request beside sound ones; counts those of the last. */
async function play(
  hosts: number,
  cut: number,
  seed: number,
): Promise<Traffic> {
  const fleet = new Fleet(hosts, seed);
  const random = seededRandom(seed);
  const pick = () =>
    fleet.hosts[Math.floor(random.next() * hosts)] as Quarantine;
  const deadly = traitsOf('deadly', 0);
  for (let crash = 0; crash < 3; crash++) {
    fleet.messages = 0;
    fleet.bytes = 0;
    fleet.sentBytes.length = 0;
    const endpoint = createEndpoint(`engine-${crash}`, CLOSED_ADDRESS);
    const sentAt = fleet.clock.monotonic();
    fleet.clock.advance(100);
    const sound = Array.from({length: cut - 1}, (_, index) => ({
      host: pick(),
      traits: traitsOf(`sound ${crash} ${index}`, index),
    }));
    const requests = [{host: pick(), traits: deadly}, ...sound];
    await Promise.all(
      requests.map(({host, traits}, index) =>
        host.recordCut({
          endpoint,
          request: `request-${index}`,
          traits,
          sentAt,
          events: 0,
        }),
      ),
    );
    fleet.clock.advance(100);
    for (const {host, traits} of sound) host.recordBegun(traits);
    fleet.clock.advance(1_000);
  }
  const refusing = fleet.hosts.filter(host => host.blockedSuspect(deadly));
  return {
    received: fleet.messages / hosts,
    receivedBytes: fleet.bytes / hosts,
    sentBytesMost: Math.max(...fleet.sentBytes.filter(Number.isFinite)),
    refusing: refusing.length,
  };
}

for (const {hosts, cut} of [
  {hosts: 6, cut: 24},
  {hosts: 340, cut: 16},
]) {
  test(`a crash that cuts ${cut} requests of ${hosts} hosts costs each more than control may in a second`, async t => {
    for (const seed of [1, 2, 3]) {
      const traffic = await play(hosts, cut, seed);
      t.log(JSON.stringify(traffic));
      t.is(traffic.refusing, hosts);
      t.true(traffic.receivedBytes < CONTROL_BYTES_A_SECOND);
    }
  });
}
