/**
 * A small stand-in of the platform, written from its pages: the log with topics,
 * conditional appends, long reads, keyed topics and groups, and the interface for
 * the duties. It loses nothing that it has acknowledged.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

/** The platform of one case. */
export class Platform {
  /** Calls for the duties, in the order of their arrival. */
  duties = [];
  /** Called with each call for the duties. */
  onDuty = () => {};
  #topics = new Map();
  #groups = new Map();
  #waiting = new Set();
  /** Called with the topic and the records of each append, and who made it. */
  onAppend = () => {};
  #servers = [];

  /**
   * Listens on a free port of an address and returns both. Calls at this port are
   * taken to be those of `caller`.
   */
  async start(host, caller = '') {
    const server = createServer((message, response) => {
      const parts = [];
      message.on('data', part => parts.push(part));
      message.on('error', () => {});
      message.on('end', () =>
        this.#take(message, response, Buffer.concat(parts), caller),
      );
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    this.#servers.push(server);
    return `${host}:${server.address().port}`;
  }

  stop() {
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Writes a record of a keyed topic, as operators and engines do. */
  put(topic, key, value) {
    const name = Buffer.from(key);
    const content = value === undefined ? '' : JSON.stringify(value);
    const length = Buffer.of(name.length);
    this.#append(topic, [Buffer.concat([length, name, Buffer.from(content)])]);
  }

  #topic(name) {
    if (!this.#topics.has(name)) this.#topics.set(name, []);
    return this.#topics.get(name);
  }

  #append(name, records) {
    this.#topic(name).push(...records);
    for (const wake of [...this.#waiting]) wake(name);
  }

  #take(message, response, body, caller) {
    const {pathname, searchParams: query} = new URL(message.url, 'http://x');
    response.setHeader('store-era', '1');
    const answer = (status, value) => {
      response.writeHead(status, {'content-type': 'application/json'});
      response.end(JSON.stringify(value));
    };
    const topic = query.get('topic') ?? '';
    switch (pathname) {
      case '/-/log-append':
        this.onAppend({topic, body, caller});
        return this.#takeAppend(topic, query.get('at'), body, answer);
      case '/-/log-read':
        return this.#takeRead(topic, query, response);
      case '/-/log-newest':
        return answer(200, this.#newest(topic));
      case '/-/log-join':
        return answer(200, this.#join(JSON.parse(body)));
      case '/-/log-leave':
        return answer(200, this.#leave(JSON.parse(body)));
    }
    const call = {
      at: performance.now(),
      path: pathname,
      holder: String(message.headers['x-duty-holder']),
      fence: Number(message.headers['x-fencing-token']),
      body: JSON.parse(body),
    };
    this.duties.push(call);
    this.onDuty(call);
    answer(200, {});
  }

  #takeAppend(name, at, body, answer) {
    const end = this.#topic(name).length;
    if (at !== null && Number(at) !== end) return answer(412, {end});
    const records = [];
    for (let begin = 0; begin < body.length;) {
      const next = begin + LENGTH_BYTES + body.readUInt32BE(begin);
      records.push(body.subarray(begin + LENGTH_BYTES, next));
      begin = next;
    }
    this.#append(name, records);
    answer(200, {offset: end, end: end + records.length});
  }

  #takeRead(name, query, response) {
    const from = Number(query.get('from'));
    const wait = Number(query.get('waitMs') ?? 0);
    const send = () => {
      const records = this.#topic(name);
      const head = Buffer.alloc(2 * OFFSET_BYTES);
      head.writeBigUInt64BE(BigInt(records.length), 0);
      const framed = records.slice(from).flatMap(record => {
        const length = Buffer.alloc(LENGTH_BYTES);
        length.writeUInt32BE(record.length);
        return [length, record];
      });
      response.writeHead(200, {'content-type': 'application/octet-stream'});
      response.end(Buffer.concat([head, ...framed]));
    };
    if (from < this.#topic(name).length || wait === 0) return send();
    const finish = () => {
      clearTimeout(timer);
      this.#waiting.delete(wake);
      if (!response.destroyed) send();
    };
    const wake = changed => changed === name && finish();
    const timer = setTimeout(finish, wait);
    this.#waiting.add(wake);
  }

  #newest(name) {
    const newest = new Map();
    for (const [offset, record] of this.#topic(name).entries()) {
      const end = 1 + record.readUInt8(0);
      const key = record.toString('utf8', 1, end);
      const value = record.subarray(end);
      newest.set(key, {key, value: value.toString('base64'), offset});
    }
    const items = [...newest.values()].filter(({value}) => value !== '');
    return {items, truncated: false, end: this.#topic(name).length};
  }

  #group(name) {
    if (!this.#groups.has(name))
      this.#groups.set(name, {generation: 0, members: new Map()});
    return this.#groups.get(name);
  }

  /** The member that has been in the group for longest holds partition 0. */
  #join({group: name, member, topics, ttlMs}) {
    const group = this.#group(name);
    const now = performance.now();
    for (const [other, until] of group.members) {
      if (other === member || now < until) continue;
      group.members.delete(other);
      group.generation++;
    }
    if (!group.members.has(member)) group.generation++;
    group.members.set(member, now + ttlMs);
    const place = [...group.members.keys()].indexOf(member);
    const {generation} = group;
    return {generation, ttlMs, parts: [[topics[0], place, 0]]};
  }

  #leave({group: name, member}) {
    const group = this.#group(name);
    if (group.members.delete(member)) group.generation++;
    return {};
  }
}
