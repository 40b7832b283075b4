/**
 * The messages in which hosts pass the store’s records on. Guards against a
 * configuration of many routes that fills the links of the hosts for seconds, so
 * that their connections to endpoints time out.
 */
import {randomBytes} from 'node:crypto';

import test from 'ava';
import {encode} from 'cbor-x';

import {
  compressRecords,
  createRecordsMessage,
  toRecordPage,
} from '../source/gossip/index.js';

const SELF = {name: 'host-1', started: 1, address: '127.0.0.1:1', zone: 'a'};
/** Links of small hosts carry about as much in a tenth of a second. */
const MAX_MESSAGE_BYTES = 64_000;

function configurationOf(routes: number): Buffer {
  const list = Array.from({length: routes}, () => ({
    name: `r-${randomBytes(4).toString('hex')}`,
    host: 'register.example',
    pathPrefix: `/${randomBytes(4).toString('hex')}/`,
    kind: 'idempotent',
    timeoutMs: 800,
    sloMs: 100,
    priority: 2,
    service: 'register',
    maxAttempts: 2,
    public: true,
    resumable: false,
  }));
  return Buffer.from(JSON.stringify({version: 21, routes: list}));
}

function messageOf(values: ReadonlyArray<Buffer | undefined>) {
  const records = values.map((value, offset) => ({
    key: `key-${offset}`,
    value,
    offset,
  }));
  const page = {records, end: records.length, era: 1, whole: true};
  return createRecordsMessage(SELF, 'keyed.op', page);
}

test('a configuration of 1,200 routes is passed on in a small message, and read unchanged', t => {
  const value = configurationOf(1_200);
  const message = messageOf([value, undefined, Buffer.from('{}')]);
  t.true(encode(message).length > 2 * MAX_MESSAGE_BYTES);
  const compressed = compressRecords(message);
  t.true(encode(compressed).length <= MAX_MESSAGE_BYTES);
  t.deepEqual(toRecordPage(compressed), toRecordPage(message));
  t.is(compressRecords(message), compressed);
});

test('a value that cannot be decompressed, or is too large, is not taken', t => {
  const message = compressRecords(messageOf([configurationOf(100)]));
  const [record] = message.records;
  const broken = {...record!, deflated: randomBytes(200)};
  t.throws(() => toRecordPage({...message, records: [broken]}));
  const huge = compressRecords(messageOf([Buffer.alloc(64_000_000)]));
  t.throws(() => toRecordPage(huge));
});
