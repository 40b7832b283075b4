/**
 * A stand-in for an engine: it registers itself in the store, runs plain requests
 * and streams, and tells the script what it ran. It is sound unless the script
 * gives it something else to do with a request.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {createServer} from 'node:http';
import {
  clearInterval,
  clearTimeout,
  setImmediate,
  setInterval,
  setTimeout,
} from 'node:timers';

const HEARTBEAT_MILLISECONDS = 1_200;
/** Milliseconds for which a plain request works. */
const WORK_MILLISECONDS = 20;

/** The seal of an answer. */
export function sealOf(id, body) {
  return createHash('sha256')
    .update(`${id} ${body}`)
    .digest('hex')
    .slice(0, 16);
}

/** One engine. */
export class Engine {
  /**
   * `spoil` may take over the answer to a request: it is called with the request,
   * the response and this engine, and returns whether it does.
   */
  constructor(deployment, options) {
    const {id, service, zone = 'palermo', slots = 64} = options;
    const {version = '1', events = 7, eventMilliseconds = 40} = options;
    Object.assign(this, {deployment, id, service, zone, slots});
    Object.assign(this, {version, events, eventMilliseconds});
    this.firstHeartbeat = options.firstHeartbeat ?? 0;
    /** Milliseconds for which it is cold after its start. */
    this.cold = options.cold ?? 0;
    /** Milliseconds before the head and the first event of a stream. */
    this.prefill = options.prefill ?? 0;
    this.spoil = options.spoil ?? (() => false);
    this.sequence = 0;
    this.running = 0;
    this.born = Date.now();
    /** What was run: attempt id and how often. */
    this.runs = new Map();
    this.server = createServer((message, response) => {
      const parts = [];
      message.on('data', part => parts.push(part));
      message.on('error', () => {});
      message.on('end', () =>
        this.receive(message, response, Buffer.concat(parts)),
      );
    });
    this.server.keepAliveTimeout = 5_000;
  }

  /** Opens a port, a free one by default, and registers from now on. */
  async start(port = 0) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', resolve);
    });
    this.port = this.server.address().port;
    this.address = `127.0.0.1:${this.port}`;
    const beat = () => {
      this.register();
      this.timer = setTimeout(beat, HEARTBEAT_MILLISECONDS);
    };
    if (this.firstHeartbeat === 0) beat();
    else this.timer = setTimeout(beat, this.firstHeartbeat);
  }

  stop() {
    clearTimeout(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  get coldLeft() {
    return Math.max(this.cold - (Date.now() - this.born), 0);
  }

  register() {
    const {service, address, zone, version, slots, born} = this;
    this.sequence++;
    this.deployment.enter(this.id, {
      service,
      address,
      zone,
      version,
      slots,
      state: 'ready',
      coldLeftMs: this.coldLeft,
      sequence: this.sequence,
      born,
    });
  }

  receive(message, response, body) {
    const {headers, url} = message;
    const id = headers['x-attempt-id'];
    if (url === '/health') {
      response.writeHead(200, {
        'x-instance-id': this.id,
        'x-cold-ms': String(this.coldLeft),
      });
      return response.end();
    }
    if (url === '/-/report') return this.report(response);
    const expected = headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {'x-not-executed': '1'});
      return response.end();
    }
    if (id === undefined) {
      response.writeHead(400, {'x-not-executed': '1'});
      return response.end();
    }
    if (this.running >= this.slots) {
      response.writeHead(503, {'x-not-executed': '1', 'x-attempt-id': id});
      return response.end();
    }
    this.running++;
    response.once('close', () => this.running--);
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    if (this.spoil(message, response, this)) return undefined;
    const last = Number(headers['last-event-id'] ?? 0);
    if (url.startsWith('/draft/')) return this.stream(id, response, last);
    return this.whole(id, response, body);
  }

  /** Tells its load, and when it was started. */
  report(response) {
    const {running: numRunning, sequence, born} = this;
    const models = [{name: 'm', version: 1, adapters: []}];
    const stage = 'both';
    response.writeHead(200, {'content-type': 'application/json'});
    response.end(JSON.stringify({stage, models, numRunning, sequence, born}));
  }

  /** Answers after some work, with a body that names the request. */
  whole(id, response, body) {
    const text = JSON.stringify({id, engine: this.id, bytes: body.length});
    const timer = setTimeout(() => {
      response.writeHead(200, {
        'content-length': text.length,
        'x-attempt-id': id,
        'x-response-seal': sealOf(id, text),
        'x-server-load': `${this.running},0,${this.slots}`,
      });
      response.end(text);
    }, WORK_MILLISECONDS);
    response.once('close', () => clearTimeout(timer));
  }

  /** Streams the events after the last one that the client has. */
  stream(id, response, last) {
    const begin = setTimeout(
      () => this.sendEvents(id, response, last),
      this.prefill,
    );
    response.once('close', () => clearTimeout(begin));
  }

  sendEvents(id, response, last) {
    if (response.destroyed) return;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-attempt-id': id,
      'x-response-seal': sealOf(id, 'stream'),
      'x-server-load': `${this.running},0,${this.slots}`,
    });
    let count = last;
    const timer = setInterval(() => {
      if (count < this.events) {
        count++;
        const data = `data: ${id} ${count} of ${this.version}`;
        response.write(`id: ${count}\n${data}\n\n`);
      }
      if (count < this.events) return;
      clearInterval(timer);
      response.end();
    }, this.eventMilliseconds);
    response.once('close', () => clearInterval(timer));
  }
}

/**
 * Answers with a head and then with small chunks without end, until the caller
 * closes: bytes that are no answer.
 */
export function sendChunksWithoutEnd(message, response, {status, chunk}) {
  const {socket} = response;
  const id = message.headers['x-attempt-id'];
  socket.on('error', () => {});
  socket.write(
    `HTTP/1.1 ${status}\r\ncontent-type: text/event-stream\r\n` +
      `x-attempt-id: ${id}\r\nx-response-seal: ${sealOf(id, status)}\r\n` +
      'transfer-encoding: chunked\r\n\r\n',
  );
  const framed = `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
  const bytes = Buffer.from(framed.repeat(Math.ceil(65_536 / framed.length)));
  const send = () => {
    if (socket.destroyed) return;
    if (socket.write(bytes)) setImmediate(send);
    else socket.once('drain', send);
  };
  send();
}
