/** What is logged when an error that nothing caught ends a process. */
import {EventEmitter} from 'node:events';

import test from 'ava';

import type {Fields, Logger} from '../source/logging/index.js';
import {
  endOnUncaughtError,
  UNCAUGHT_ERROR_EXIT_CODE,
} from '../source/process/index.js';

interface Logged {
  readonly event: string;
  readonly fields: Fields;
}

function setUp(): {
  source: EventEmitter;
  lines: Logged[];
  exitCodes: number[];
} {
  const source = new EventEmitter();
  const lines: Logged[] = [];
  const exitCodes: number[] = [];
  const log = (event: string, fields: Fields = {}) =>
    void lines.push({event, fields});
  const logger: Logger = {debug: log, info: log, warn: log, error: log};
  endOnUncaughtError({
    source,
    logger,
    load: () => ({active: 3, queued: 2}),
    end: code => exitCodes.push(code),
  });
  return {source, lines, exitCodes};
}

test('an uncaught error is logged with its stack and what ends with the process', t => {
  const {source, lines, exitCodes} = setUp();
  const error = new TypeError('job is not a function');
  source.emit('uncaughtException', error, 'unhandledRejection');
  t.is(lines.length, 1);
  const {event, fields} = lines[0] ?? {event: '', fields: {}};
  t.is(event, 'uncaught-error');
  t.like(fields, {
    origin: 'unhandledRejection',
    error: 'TypeError',
    detail: 'job is not a function',
    active: 3,
    queued: 2,
  });
  t.regex(String(fields['stack']), /uncaught\.test\.ts/);
  t.true(Number(fields['memoryMegabytes']) > 0);
  t.true(Number(fields['processorMilliseconds']) > 0);
  t.deepEqual(exitCodes, [UNCAUGHT_ERROR_EXIT_CODE]);
});

test('further errors while the process ends are logged and do not end it again', t => {
  const {source, lines, exitCodes} = setUp();
  source.emit('uncaughtException', new Error('first'), 'uncaughtException');
  source.emit('uncaughtException', 'second', 'uncaughtException');
  t.deepEqual(
    lines.map(({fields}) => fields['detail']),
    ['first', 'second'],
  );
  t.is(exitCodes.length, 1);
});
