/**
 * A stand-in for the users' platform, written from their pages: the store with
 * its topics, conditional appends, long reads and groups, and the duties'
 * interface. Faults: it is away or slow, turns calls away, loses answers,
 * forgets its history, or comes back from an older copy. Tests drive it in their own process.
 */
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';

import {reply, serve, type Received} from './server.js';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

/** What the stand-in does wrong. */
export interface SiteFaults {
  /** Calls are closed without an answer. */
  away: boolean;
  /** Calls are turned away with 503. */
  busy: boolean;
  /** Topics of which calls are turned away with 503. */
  busyTopics: ReadonlySet<string>;
  /** Appends that are carried out and not answered. */
  loseAppends: number;
  /** Milliseconds by which each call is carried out late. */
  delay: number;
}

interface Topic {
  first: number;
  records: Buffer[];
}

interface Waiter {
  readonly topic: string;
  readonly from: number;
  readonly done: () => void;
  /** Closes the connection without an answer. */
  readonly abort: () => void;
}

/** What the store has at a moment. */
export interface SiteCopy {
  readonly topics: ReadonlyMap<string, Topic>;
  readonly newestOf: ReadonlyMap<string, ReadonlyMap<string, Kept>>;
  readonly members: ReadonlyMap<string, number>;
  readonly generation: number;
  /** When it was made, on the monotonic clock. */
  readonly at: number;
}

/** A usage report or an order that came in. */
export interface DutyCall {
  readonly path: string;
  readonly holder: string;
  readonly fence: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** The users' platform. */
export class Site {
  readonly faults: SiteFaults = {
    away: false,
    busy: false,
    busyTopics: new Set(),
    loseAppends: 0,
    delay: 0,
  };
  readonly duties: DutyCall[] = [];
  address = '';
  private readonly topics = new Map<string, Topic>();
  private readonly members = new Map<string, number>();
  private generation = 0;
  /** How often the store has come back from a copy, from 1 on. */
  private era = 1;
  private waiters: Waiter[] = [];
  private server: Server | undefined;

  /** Opens a port. */
  async start(): Promise<void> {
    this.server = await serve('127.0.0.1:0', received => this.take(received));
    const {port} = this.server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  stop(): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /** Writes a record of a keyed topic, as the operator or an endpoint does. */
  put(topic: string, key: string, value: unknown): void {
    const name = Buffer.from(key);
    const content =
      typeof value === 'string' ? value : JSON.stringify(value ?? undefined);
    const bytes = Buffer.from(content ?? '');
    this.append(topic, [Buffer.concat([Buffer.of(name.length), name, bytes])]);
  }

  /** Deletes the records of a topic; the newest of each key is kept. */
  forget(topic: string): void {
    const kept = this.topic(topic);
    kept.first += kept.records.length;
    for (const record of kept.records) this.keep(topic, record);
    kept.records = [];
  }

  /** Copies what the store has. */
  copy(): SiteCopy {
    return {
      topics: copyOfTopics(this.topics),
      newestOf: copyOfNewest(this.newestOf),
      members: new Map(this.members),
      generation: this.generation,
      at: performance.now(),
    };
  }

  /** Comes back with what it had at the time of a copy; the rest is gone. */
  restore({topics, newestOf, members, generation, at}: SiteCopy): void {
    const age = performance.now() - at;
    replace(this.topics, copyOfTopics(topics));
    replace(this.newestOf, copyOfNewest(newestOf));
    this.members.clear();
    for (const [member, silentAt] of members)
      this.members.set(member, silentAt + age);
    this.generation = generation;
    this.era++;
    const waiters = this.waiters;
    this.waiters = [];
    for (const {abort} of waiters) abort();
  }

  /** Records of a plain topic. */
  recordsOf(topic: string): readonly Buffer[] {
    return this.topic(topic).records;
  }

  /** The newest value of a key in a keyed topic, as JSON; undefined for none. */
  newest(topic: string, key: string): unknown {
    const value = this.newestOf.get(topic)?.get(key)?.value;
    return value?.length ? JSON.parse(value.toString()) : undefined;
  }

  private readonly newestOf = new Map<string, Map<string, Kept>>();

  private keep(topic: string, record: Buffer, offset = 0): void {
    const length = record.readUInt8(0);
    const key = record.toString('utf8', 1, 1 + length);
    const value = record.subarray(1 + length);
    const newest = this.newestOf.get(topic) ?? new Map<string, Kept>();
    const known = newest.get(key);
    if (!known || known.offset <= offset) newest.set(key, {value, offset});
    this.newestOf.set(topic, newest);
  }

  private topic(name: string): Topic {
    const topic = this.topics.get(name) ?? {first: 0, records: []};
    this.topics.set(name, topic);
    return topic;
  }

  private append(name: string, records: readonly Buffer[]): number {
    const topic = this.topic(name);
    for (const record of records) {
      const offset = topic.first + topic.records.length;
      topic.records.push(record);
      if (name.startsWith('keyed.')) this.keep(name, record, offset);
    }
    const woken = this.waiters.filter(waiter => waiter.topic === name);
    this.waiters = this.waiters.filter(waiter => waiter.topic !== name);
    for (const {done} of woken) done();
    return topic.first + topic.records.length;
  }

  private take(received: Received): void {
    const {response} = received;
    if (this.faults.away) return void response.destroy();
    response.setHeader('store-era', String(this.era));
    const topic = received.query.get('topic') ?? '';
    const isBusy = this.faults.busy || this.faults.busyTopics.has(topic);
    if (isBusy) return reply(response, 503, {});
    const {delay} = this.faults;
    if (delay === 0) return this.carryOut(received);
    setTimeout(() => this.carryOut(received), delay);
  }

  private carryOut(received: Received): void {
    switch (received.path) {
      case '/-/log-append':
        return this.takeAppend(received);
      case '/-/log-read':
        return this.takeRead(received);
      case '/-/log-newest':
        return this.takeNewest(received);
      case '/-/log-join':
        return this.takeJoin(received);
      case '/-/log-leave':
        return this.takeLeave(received);
      default:
        return this.takeDuty(received);
    }
  }

  private takeAppend({query, body, response}: Received): void {
    const name = query.get('topic') ?? '';
    const topic = this.topic(name);
    const end = topic.first + topic.records.length;
    const at = query.get('at');
    if (at !== null && Number(at) !== end) return reply(response, 412, {end});
    const records = unframed(body);
    const after = this.append(name, records);
    if (this.faults.loseAppends > 0) {
      this.faults.loseAppends--;
      return void response.destroy();
    }
    reply(response, 200, {offset: end, end: after});
  }

  private takeRead(received: Received): void {
    const {query, response} = received;
    const name = query.get('topic') ?? '';
    const from = Number(query.get('from'));
    const topic = this.topic(name);
    if (from < topic.first) return reply(response, 410, {first: topic.first});
    const end = topic.first + topic.records.length;
    if (from > end) return reply(response, 410, {first: topic.first});
    const wait = Number(query.get('waitMs') ?? 0);
    if (from >= end && wait > 0) return this.wait(received, name, from, wait);
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(end), 0);
    head.writeBigUInt64BE(BigInt(topic.first), OFFSET_BYTES);
    const records = topic.records.slice(from - topic.first).map(framed);
    response.writeHead(200, {'content-type': 'application/octet-stream'});
    response.end(Buffer.concat([head, ...records]));
  }

  private wait(
    received: Received,
    topic: string,
    from: number,
    wait: number,
  ): void {
    const abort = () => {
      clearTimeout(timer);
      received.response.destroy();
    };
    const waiter = {topic, from, done: () => answer(), abort};
    const timer = setTimeout(() => {
      received.query.set('waitMs', '0');
      this.waiters = this.waiters.filter(other => other !== waiter);
      answer();
    }, wait);
    const answer = () => {
      clearTimeout(timer);
      const {response} = received;
      if (response.destroyed) return;
      // A store that has gone away answers no read that was waiting either.
      if (this.faults.away) response.destroy();
      else this.takeRead(received);
    };
    this.waiters.push(waiter);
  }

  private takeNewest({query, response}: Received): void {
    const name = query.get('topic') ?? '';
    const topic = this.topic(name);
    const newest = this.newestOf.get(name) ?? new Map<string, Kept>();
    const items = [...newest]
      .filter(([, {value}]) => value.length > 0)
      .map(([key, {value, offset}]) => ({
        key,
        value: value.toString('base64'),
        offset,
      }));
    const end = topic.first + topic.records.length;
    reply(response, 200, {items, truncated: false, end});
  }

  private takeJoin({body, response}: Received): void {
    const {member, ttlMs} = JSON.parse(body.toString()) as Joining;
    const now = performance.now();
    for (const [other, silentAt] of this.members) {
      if (other === member || now < silentAt) continue;
      this.members.delete(other);
      this.generation++;
    }
    if (!this.members.has(member)) this.generation++;
    this.members.set(member, now + ttlMs);
    const [first] = this.members.keys();
    const partition = first === member ? 0 : 1;
    const parts = [['duties', partition, 0]];
    reply(response, 200, {generation: this.generation, ttlMs, parts});
  }

  private takeLeave({body, response}: Received): void {
    const {member} = JSON.parse(body.toString()) as {member: string};
    if (this.members.delete(member)) this.generation++;
    reply(response, 200, {});
  }

  private takeDuty({path, body, message, response}: Received): void {
    this.duties.push({
      path,
      holder: String(message.headers['x-duty-holder']),
      fence: Number(message.headers['x-fencing-token']),
      body: JSON.parse(body.toString()) as Record<string, unknown>,
    });
    reply(response, 200, {});
  }
}

interface Joining {
  readonly member: string;
  readonly ttlMs: number;
}

/** The newest record of a key. */
interface Kept {
  readonly value: Buffer;
  readonly offset: number;
}

function copyOfTopics(topics: ReadonlyMap<string, Topic>): Map<string, Topic> {
  const copies = new Map<string, Topic>();
  for (const [name, {first, records}] of topics)
    copies.set(name, {first, records: [...records]});
  return copies;
}

function copyOfNewest(
  newestOf: ReadonlyMap<string, ReadonlyMap<string, Kept>>,
): Map<string, Map<string, Kept>> {
  return new Map([...newestOf].map(([topic, kept]) => [topic, new Map(kept)]));
}

function replace<Key, Value>(
  map: Map<Key, Value>,
  entries: ReadonlyMap<Key, Value>,
): void {
  map.clear();
  for (const [key, value] of entries) map.set(key, value);
}

function framed(record: Buffer): Buffer {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
}

function unframed(body: Buffer): Buffer[] {
  const records: Buffer[] = [];
  for (let at = 0; at < body.length;) {
    const end = at + LENGTH_BYTES + body.readUInt32BE(at);
    records.push(body.subarray(at + LENGTH_BYTES, end));
    at = end;
  }
  return records;
}
