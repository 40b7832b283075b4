/** A port that a process listens on, from its first try to its end. */
import {createServer as createHttpServer} from 'node:http';
import {Server} from 'node:net';

import test from 'ava';

import {portChart} from '../source/charts/index.js';
import {ManualClock, SystemClock} from '../source/clock/index.js';
import {PortError, StateChartError} from '../source/errors/index.js';
import type {Fields, Logger} from '../source/logging/index.js';
import {Metrics} from '../source/metrics/index.js';
import {Port} from '../source/ports/index.js';
import {freeAddress} from '../tools/ports.js';
import {statusOf} from './support/edgeprocess.js';
import {HeldPort} from './support/heldport.js';

const RETRY_MILLISECONDS = 100;
const REPORT_MILLISECONDS = 10_000;

/** A server whose tries to listen end as a test says. */
class ScriptedServer extends Server {
  tries = 0;
  closes = 0;

  override listen(): this {
    this.tries++;
    return this;
  }

  override close(): this {
    this.closes++;
    return this;
  }

  refuse(code: string): void {
    this.emit('error', Object.assign(new Error(`listen ${code}`), {code}));
  }
}

interface Line {
  readonly event: string;
  readonly fields: Fields;
}

function createScene(isRequired = true) {
  const lines: Line[] = [];
  const log = (event: string, fields: Fields = {}) => {
    lines.push({event, fields});
  };
  const logger: Logger = {debug: log, info: log, warn: log, error: log};
  const clock = new ManualClock();
  const metrics = new Metrics();
  const server = new ScriptedServer();
  const port = new Port({
    role: 'front',
    address: '127.0.0.1:1',
    server,
    isRequired,
    clock,
    logger,
    metrics,
  });
  const events = () => lines.map(({event}) => event);
  return {port, server, clock, metrics, lines, events};
}

const TRANSITIONS = [
  ['idle', 'open', 'opening'],
  ['idle', 'close', 'closed'],
  ['opening', 'opened', 'open'],
  ['opening', 'refused', 'waiting'],
  ['opening', 'fail', 'failed'],
  ['opening', 'close', 'closed'],
  ['waiting', 'retry', 'opening'],
  ['waiting', 'close', 'closed'],
  ['open', 'close', 'closed'],
  ['failed', 'close', 'closed'],
] as const;

const STATES = ['idle', 'opening', 'waiting', 'open', 'failed', 'closed'];
const EVENTS = ['open', 'opened', 'refused', 'fail', 'retry', 'close'];

test('the chart of a port has these transitions and no others', t => {
  const found = STATES.flatMap(state =>
    EVENTS.filter(event => portChart.allows(state, event)).map(event => [
      state,
      event,
      portChart.next(state, event),
    ]),
  );
  const sorted = (rows: ReadonlyArray<readonly string[]>) =>
    rows.map(row => row.join(' ')).sort();
  t.deepEqual(sorted(found), sorted(TRANSITIONS));
  t.is(portChart.initial, 'idle');
});

test('a port that is free opens with one line', async t => {
  const {port, server, lines, metrics} = createScene();
  const opened = port.open();
  server.emit('listening');
  t.true(await opened);
  t.true(port.isOpen);
  const fields = {role: 'front', address: '127.0.0.1:1', tries: 1, after: 0};
  t.deepEqual(lines, [{event: 'port-opened', fields}]);
  t.is(metrics.value('port-opened', {role: 'front'}), 1);
});

for (const code of ['EADDRINUSE', 'EMFILE', 'ENOBUFS', 'ENOMEM']) {
  test(`a port that is refused with ${code} is tried until it opens`, async t => {
    const {port, server, clock, metrics, lines} = createScene();
    const opened = port.open();
    for (let round = 0; round < 3; round++) {
      server.refuse(code);
      clock.advance(RETRY_MILLISECONDS);
    }
    t.is(server.tries, 4);
    server.emit('listening');
    t.true(await opened);
    const event = code === 'EADDRINUSE' ? 'port-taken' : 'port-not-opened';
    t.is(metrics.value(event, {role: 'front', code}), 3);
    t.deepEqual(
      lines.map(line => [line.event, line.fields['tries']]),
      [
        [event, 1],
        ['port-opened', 4],
      ],
    );
  });
}

test('a port that stays taken is logged at once and then seldom', t => {
  const {port, server, clock, events} = createScene();
  void port.open();
  const rounds = (2 * REPORT_MILLISECONDS) / RETRY_MILLISECONDS;
  for (let round = 0; round < rounds; round++) {
    server.refuse('EADDRINUSE');
    if (round === 0) t.deepEqual(events(), ['port-taken']);
    clock.advance(RETRY_MILLISECONDS);
  }
  t.deepEqual(events(), ['port-taken', 'port-taken']);
  port.close();
});

for (const code of ['EADDRNOTAVAIL', 'EACCES', 'EINVAL', 'ENOTFOUND']) {
  test(`a required port fails at once with ${code}`, async t => {
    const {port, server, clock, lines} = createScene();
    const opened = port.open();
    server.refuse(code);
    const error = await t.throwsAsync(opened, {instanceOf: PortError});
    t.is(error.code, code);
    t.is(error.role, 'front');
    t.true(port.hasFailed);
    clock.advance(REPORT_MILLISECONDS);
    t.is(server.tries, 1);
    t.is(lines.length, 1);
    t.is(lines[0]?.event, 'port-unusable');
  });

  test(`a port that is not required is tried on after ${code}`, async t => {
    const {port, server, clock, events} = createScene(false);
    const opened = port.open();
    server.refuse(code);
    t.false(port.hasFailed);
    clock.advance(RETRY_MILLISECONDS);
    server.emit('listening');
    t.true(await opened);
    t.deepEqual(events(), ['port-not-opened', 'port-opened']);
  });
}

for (const code of ['EMFILE', 'ENOBUFS', 'ENOMEM']) {
  test(`an error ${code} on accept is logged, counted and not thrown`, async t => {
    const {port, server, clock, metrics, lines} = createScene();
    const opened = port.open();
    server.emit('listening');
    await opened;
    for (let round = 0; round < 3; round++) server.refuse(code);
    t.true(port.isOpen);
    t.is(metrics.value('port-error', {role: 'front', code}), 3);
    clock.advance(REPORT_MILLISECONDS);
    server.refuse(code);
    t.deepEqual(
      lines.map(({event, fields}) => [event, fields['errors'] ?? 0]),
      [
        ['port-opened', 0],
        ['port-error', 1],
        ['port-error', 3],
      ],
    );
  });
}

test('a port that is closed while it is taken is not tried again', async t => {
  const {port, server, clock} = createScene();
  const opened = port.open();
  server.refuse('EADDRINUSE');
  port.stopTrying();
  t.false(await opened);
  clock.advance(REPORT_MILLISECONDS);
  t.is(server.tries, 1);
});

test('an open port stays open when tries are to stop', async t => {
  const {port, server} = createScene();
  const opened = port.open();
  server.emit('listening');
  await opened;
  port.stopTrying();
  t.true(port.isOpen);
  port.close();
  t.false(port.isOpen);
});

test('a port is closed once and opened once', async t => {
  const {port, server} = createScene();
  const opened = port.open();
  server.emit('listening');
  await opened;
  port.close();
  t.notThrows(() => port.close());
  await t.throwsAsync(async () => port.open(), {instanceOf: StateChartError});
});

test('a port that is closed while it is being opened does not stay open', async t => {
  const address = await freeAddress();
  const server = createHttpServer((message, response) => response.end());
  const {port} = realPort(server, address);
  const opened = port.open();
  port.close();
  t.false(await opened);
  await new Promise(resolve => setTimeout(resolve, RETRY_MILLISECONDS));
  t.is(await statusOf(address, '/'), 0);
  t.false(server.listening);
});

test('a server of HTTP answers at a port that was taken at first', async t => {
  const address = await freeAddress();
  const held = await HeldPort.take(address);
  t.teardown(() => held.release());
  const server = createHttpServer((message, response) => response.end());
  const {port} = realPort(server, address);
  t.teardown(() => {
    port.close();
    server.closeAllConnections();
  });
  const opened = port.open();
  await new Promise(resolve => setTimeout(resolve, 2 * RETRY_MILLISECONDS));
  t.false(port.isOpen);
  held.release();
  t.true(await opened);
  t.is(await statusOf(address, '/'), 200);
});

test('an address that the machine does not have is a PortError', async t => {
  const {port} = realPort(createHttpServer(), '192.0.2.1:8080');
  const error = await t.throwsAsync(port.open(), {instanceOf: PortError});
  t.is(error.code, 'EADDRNOTAVAIL');
});

function realPort(server: Server, address: string) {
  const ignore = () => {};
  const port = new Port({
    role: 'front',
    address,
    server,
    isRequired: true,
    clock: new SystemClock(),
    logger: {debug: ignore, info: ignore, warn: ignore, error: ignore},
    metrics: new Metrics(),
  });
  return {port};
}
