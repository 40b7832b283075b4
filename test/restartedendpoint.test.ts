/**
 * Endpoints that start again under the id that they had, with another software
 * version. Guards against streams that begin at the new version, are taken for
 * streams of the old one, and go on there.
 */
import {createServer, type Server} from 'node:http';

import test, {type ExecutionContext} from 'ava';

import {partsOf} from '../source/wire/index.js';
import {freeAddress} from '../tools/ports.js';
import {ask} from './support/ask.js';
import {
  EdgeFleet,
  holdsWithin,
  sealed,
  until,
  type HostProcess,
} from './support/edgeprocess.js';

const KEY = 'key-of-guides';
const EVENTS = 6;
const EVENT_MILLISECONDS = 30;
const DOWN_MILLISECONDS = 20;
/**
 * How long the endpoint runs before its entry says so: longer than a host avoids an
 * endpoint that has cut all streams of its last incarnation.
 */
const UNKNOWN_MILLISECONDS = 3_500;
const IDLE_DOWN_MILLISECONDS = 1_500;
const IDLE_MILLISECONDS = 300;
/** Time in which a host has asked an endpoint and told the others. */
const NOTICED_MILLISECONDS = 200;
/** As many at once as one endpoint has slots. */
const STREAM_INTERVAL_MILLISECONDS = 35;

/** One incarnation of an endpoint, which writes its version into each event. */
class Incarnation {
  streams = 0;
  private readonly server: Server;

  constructor(
    private readonly id: string,
    private readonly version: string,
    private readonly born: number,
  ) {
    this.server = createServer((message, response) => {
      message.resume();
      response.on('error', () => {});
      if (message.url === '/health') {
        response.writeHead(200, {'x-instance-id': this.id});
        return void response.end();
      }
      if (message.url === '/-/report')
        return void response.end(JSON.stringify({born: this.born}));
      this.streams++;
      const {headers} = message;
      let count = Number(headers['last-event-id'] ?? 0);
      response.writeHead(200, {
        ...sealed(message),
        'content-type': 'text/event-stream',
      });
      const timer = setInterval(() => {
        if (count++ === EVENTS) return void response.end();
        response.write(`id: ${count}\ndata: of ${this.version}\n\n`);
      }, EVENT_MILLISECONDS);
      response.on('close', () => clearInterval(timer));
    });
  }

  listen(address: string): Promise<void> {
    const {host, port} = partsOf(address);
    return new Promise(resolve =>
      this.server.listen({host, port}, () => resolve()),
    );
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** Asks for a stream; resolves with the text that came. */
async function stream(host: HostProcess, number: number): Promise<string> {
  const {text} = await ask(host, {
    path: `/draft/${number}`,
    key: KEY,
    id: `stream-${number}`,
    deadline: 2_000,
  });
  return text;
}

const wait = (duration: number) =>
  new Promise<void>(resolve => setTimeout(resolve, duration));

async function playRestarts(
  t: ExecutionContext,
  downtime: number,
): Promise<void> {
  const fleet = await EdgeFleet.start(t);
  fleet.configure([KEY]);
  const address = await freeAddress();
  const otherAddress = await freeAddress();
  const first = new Incarnation('engine-0', 'v1', 1_000);
  const other = new Incarnation('engine-1', 'v1', 1_000);
  const second = new Incarnation('engine-0', 'v2', 2_000);
  const third = new Incarnation('engine-0', 'v2', 3_000);
  t.teardown(() => {
    for (const incarnation of [first, other, second, third]) incarnation.stop();
  });
  await first.listen(address);
  await other.listen(otherAddress);
  fleet.enter('engine-0', address, 'ready');
  fleet.enter('engine-1', otherAddress, 'ready');
  const host = await fleet.host('host-1');
  await fleet.ready(host);

  const texts: Array<Promise<string>> = [];
  const timer = setInterval(
    () => texts.push(stream(host, texts.length)),
    STREAM_INTERVAL_MILLISECONDS,
  );
  t.teardown(() => clearInterval(timer));
  await until(() => first.streams > 3 && other.streams > 3);
  first.stop();
  await wait(downtime);
  await second.listen(address);
  await wait(UNKNOWN_MILLISECONDS);
  t.is(second.streams, 0, 'streams began at a version that is not known');
  second.stop();
  await wait(downtime);
  await third.listen(address);
  fleet.born = 3_000;
  fleet.enter('engine-0', address, 'ready', 'v2');
  await until(() => third.streams > 0);
  clearInterval(timer);
  for (const text of await Promise.all(texts))
    t.false(text.includes('v1') && text.includes('v2'), text);
}

test('no stream joins the text of two versions after an endpoint has started again under its id', t =>
  playRestarts(t, DOWN_MILLISECONDS));

// It is back before the host that it has cut can see that it was gone.
test('no stream joins the text of two versions after an endpoint has started again at once', t =>
  playRestarts(t, 0));

for (const downtime of [DOWN_MILLISECONDS, IDLE_DOWN_MILLISECONDS]) {
  // Guards against streams that begin at another incarnation because the last one
  // ended while it ran nothing, so that no request was cut by it.
  test(`no stream begins at an endpoint that ran nothing when it ended, and is back under its id after ${downtime} ms`, async t => {
    const fleet = await EdgeFleet.start(t);
    fleet.configure([KEY]);
    const address = await freeAddress();
    const otherAddress = await freeAddress();
    const first = new Incarnation('engine-0', 'v1', 1_000);
    const other = new Incarnation('engine-1', 'v1', 1_000);
    const second = new Incarnation('engine-0', 'v2', 2_000);
    const incarnations = [first, other, second];
    t.teardown(() => {
      for (const incarnation of incarnations) incarnation.stop();
    });
    await first.listen(address);
    await other.listen(otherAddress);
    fleet.enter('engine-0', address, 'ready');
    fleet.enter('engine-1', otherAddress, 'ready');
    const hosts = [await fleet.host('host-1'), await fleet.host('host-2')];
    await Promise.all(hosts.map(host => fleet.ready(host)));
    const [host] = hosts;
    if (!host) throw new Error('no host');

    let sent = 0;
    const streamTo = (to: HostProcess) => stream(to, sent++);
    while (first.streams === 0) await streamTo(host);
    await wait(IDLE_MILLISECONDS);
    first.stop();
    await wait(downtime);
    await second.listen(address);
    await wait(NOTICED_MILLISECONDS);
    // The other host had no connection there: it was told.
    const texts = await Promise.all(
      Array.from({length: 24}, (_, index) => {
        const to = hosts[index % hosts.length] ?? host;
        return wait(index * STREAM_INTERVAL_MILLISECONDS).then(() =>
          streamTo(to),
        );
      }),
    );
    t.is(second.streams, 0, 'streams began at a version that is not known');
    t.true(texts.every(text => text.includes('v1')));
    fleet.born = 2_000;
    fleet.enter('engine-0', address, 'ready', 'v2');
    const ask = () => void streamTo(host);
    const timer = setInterval(ask, STREAM_INTERVAL_MILLISECONDS);
    t.teardown(() => clearInterval(timer));
    t.true(await holdsWithin(UNKNOWN_MILLISECONDS, () => second.streams > 0));
  });
}
