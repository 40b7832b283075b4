/**
 * A large fleet whose store comes back from an older copy. Few hosts read the
 * store for the others. Guards against hosts that never learn of the restore, and
 * against a full read of the store by every host when they do.
 */
import test from 'ava';

import {ManualClock} from '../source/clock/index.js';
import {
  Feeder,
  type GossipMessage,
  type HostAddress,
} from '../source/gossip/index.js';
import {
  applyFullPage,
  applyPage,
  recordsFrom,
  UNREAD,
  type KeyedRecord,
  type KeyedState,
  type PeerRecordPage,
} from '../source/store/index.js';

const TOPIC = 'endpoints';
const ZONES = ['palermo', 'catania', 'siracusa', 'messina', 'trapani'];
const HOSTS = 195;
const MESSAGE_DELAY_MILLISECONDS = 2;
const READ_INTERVAL_MILLISECONDS = 50;

interface SimulatedHost {
  readonly address: HostAddress;
  readonly feeder: Feeder;
  state: KeyedState;
  answeredAt: number;
}

/** A keyed topic, and hosts that read it while they are not fed. */
class Fleet {
  readonly clock = new ManualClock();
  readonly hosts: SimulatedHost[];
  fullReads = 0;
  private era = 1;
  private log: KeyedRecord[] = [];

  constructor() {
    const all = Array.from({length: HOSTS}, (_, index) => ({
      name: `host-${index}`,
      started: 1,
      address: `10.0.0.${index}:1`,
      zone: ZONES[index % ZONES.length] ?? '',
    }));
    this.write('engine-1', 'first');
    this.hosts = all.map(address => this.createHost(address, all));
    for (const {feeder} of this.hosts) feeder.start();
    this.clock.every(READ_INTERVAL_MILLISECONDS, () => this.readStore());
  }

  write(key: string, text: string): void {
    const offset = this.log.length;
    this.log.push({key, value: Buffer.from(text), offset});
  }

  /** The store comes back with its first records only. */
  restore(kept: number): void {
    this.log = this.log.slice(0, kept);
    this.era++;
  }

  /** How many hosts know a text of a key. */
  countKnowing(key: string, text: string): number {
    const texts = this.hosts.map(({state}) =>
      state.records.get(key)?.value?.toString(),
    );
    return texts.filter(known => known === text).length;
  }

  private createHost(
    address: HostAddress,
    all: readonly HostAddress[],
  ): SimulatedHost {
    const host: SimulatedHost = {
      address,
      state: UNREAD,
      answeredAt: 0,
      feeder: new Feeder({
        self: address,
        clock: this.clock,
        hosts: () => all.filter(({name}) => name !== address.name),
        send: (to, message) => this.send(host, to, message),
        positions: () => [
          {topic: TOPIC, position: host.state.next ?? 0, era: host.state.era},
        ],
        records: (_, position) => recordsFrom(host.state, position),
        answeredAt: () => host.answeredAt,
        storeLostAt: () => -Infinity,
        onStoreLost: () => {},
      }),
    };
    return host;
  }

  private readStore(): void {
    for (const host of this.hosts) {
      const {state, feeder} = host;
      if (state.next !== undefined && feeder.isFed) continue;
      host.answeredAt = this.clock.monotonic();
      const isFull = state.next === undefined || state.era !== this.era;
      if (isFull) this.fullReads++;
      const records = isFull ? this.newest() : this.log.slice(state.next);
      const page = {records, end: this.log.length, era: this.era};
      this.apply(host, {...page, whole: isFull});
    }
  }

  private newest(): KeyedRecord[] {
    return [...new Map(this.log.map(record => [record.key, record])).values()];
  }

  private send(from: SimulatedHost, to: string, message: GossipMessage): void {
    this.clock.after(MESSAGE_DELAY_MILLISECONDS, () => {
      const host = this.hosts.find(({address}) => address.name === to);
      if (host) this.receive(host, from, message);
    });
  }

  private receive(
    host: SimulatedHost,
    from: SimulatedHost,
    message: GossipMessage,
  ): void {
    if (message.kind === 'feed') host.feeder.handleReport(message);
    if (message.kind === 'records') {
      const records = message.records.map(({key, value, offset}) => ({
        key,
        value: value && Buffer.from(value),
        offset,
      }));
      this.apply(host, {...message, records});
    }
    if (message.kind !== 'wanted') return;
    const page = recordsFrom(host.state, {
      offset: message.position,
      era: message.era,
    });
    const {records, end, era, whole} = page;
    this.send(host, from.address.name, {
      kind: 'records',
      from: host.address,
      topic: TOPIC,
      records: [...records],
      end,
      era,
      whole,
    });
  }

  private apply(host: SimulatedHost, page: PeerRecordPage): void {
    const apply = page.whole ? applyFullPage : applyPage;
    const {state, changes} = apply(host.state, page);
    host.state = state;
    if (changes.length > 0) host.feeder.handleNewRecords();
  }
}

test('all hosts of a large fleet learn what is written after a restore, and few read the store anew', t => {
  const fleet = new Fleet();
  fleet.clock.advance(3_000);
  for (let round = 0; round < 5; round++) fleet.write('engine-1', 'lost');
  fleet.write('engine-2', 'lost');
  fleet.clock.advance(1_000);
  t.is(fleet.countKnowing('engine-2', 'lost'), HOSTS);
  for (const text of ['second', 'third']) {
    fleet.fullReads = 0;
    fleet.restore(1);
    fleet.clock.advance(READ_INTERVAL_MILLISECONDS);
    fleet.write('engine-1', text);
    fleet.clock.advance(1_900);
    t.is(fleet.countKnowing('engine-1', text), HOSTS);
    t.is(fleet.countKnowing('engine-2', 'lost'), 0);
    t.true(fleet.fullReads <= 3, `${fleet.fullReads} full reads`);
  }
});
