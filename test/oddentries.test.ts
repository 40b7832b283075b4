/**
 * Other writers put odd entries among those of the endpoints, and odd records
 * under the operator's topic. Guards against hosts that end, stop to follow the
 * topic, or write without bounds because of them. Host processes, as some of
 * these end a process.
 */
import test from 'ava';

import {EdgeFleet, until} from './support/edgeprocess.js';

const DEEP = 100_000;
/** A line of a log that names one record is not longer than this. */
const MAX_LINE_CHARACTERS = 2_000;

const SOUND =
  '"service":"register","zone":"palermo","slots":6,"state":"ready","coldLeftMs":0,"sequence":1,"born":1000';

function entryWith(field: string): string {
  return `{${SOUND},"address":"127.0.0.1:1",${field}}`;
}

const ODD_ENTRIES: Readonly<Record<string, string>> = {
  'deep-list': '['.repeat(DEEP) + ']'.repeat(DEEP),
  'deep-object': '{"a":'.repeat(DEEP) + '1' + '}'.repeat(DEEP),
  'deep-field': entryWith(`"zone":${'['.repeat(DEEP)}${']'.repeat(DEEP)}`),
  'deep-unknown': entryWith(`"other":${'['.repeat(DEEP)}${']'.repeat(DEEP)}`),
  'infinite-slots': entryWith('"slots":1e400'),
  'unsafe-slots': entryWith('"slots":9007199254740993'),
  'negative-slots': entryWith('"slots":-6'),
  'infinite-cold': entryWith('"coldLeftMs":1e308'),
  'unsafe-born': entryWith('"born":9007199254740993'),
  'infinite-sequence': entryWith('"sequence":1e400'),
  'port-0': entryWith('"address":"127.0.0.1:0"'),
  'port-65536': entryWith('"address":"127.0.0.1:65536"'),
  'port-negative': entryWith('"address":"127.0.0.1:-1"'),
  'port-text': entryWith('"address":"127.0.0.1:http"'),
  'port-missing': entryWith('"address":"127.0.0.1"'),
  'address-number': entryWith('"address":7'),
  'address-empty': entryWith('"address":""'),
  long: entryWith(`"zone":"${'z'.repeat(1_000_000)}"`),
  'long-address': entryWith(`"address":"${'9'.repeat(1_000_000)}:80"`),
  'not-json': '{"service":',
  bytes: '\uFFFD\u0000\u0001',
  'key-twice': entryWith('"service":"other","service":"register"'),
  prototype: entryWith('"__proto__":{"state":"draining"},"slots":"x"'),
  constructor: entryWith('"constructor":{"prototype":{}},"slots":null'),
  nothing: 'null',
  text: '"ready"',
  number: '1e400',
};

test('a host lives, follows on and keeps the sound endpoints beside odd entries', async t => {
  const fleet = await EdgeFleet.start(t);
  await fleet.endpoint('register-1');
  fleet.configure(['first']);
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  await until(async () => (await fleet.read(host, 'first'))[0] === 200);
  for (const [id, text] of Object.entries(ODD_ENTRIES)) {
    fleet.site.put('keyed.servers', id, text);
    fleet.site.put('keyed.op', `odd-${id}`, text);
    fleet.site.put('keyed.op', `evacuate/${id}`, text);
  }
  await fleet.endpoint('register-2');
  await until(
    async () => (await fleet.read(host, 'first'))[1] === 'register-2',
  );
  fleet.configure(['second']);
  await until(async () => (await fleet.read(host, 'second'))[0] === 200);
  for (let round = 0; round < 20; round++)
    t.is((await fleet.read(host, 'second'))[0], 200);
  t.is(host.child.exitCode, null);
  const lengths = host.lines.map(line => JSON.stringify(line).length);
  t.true(
    Math.max(...lengths) <= MAX_LINE_CHARACTERS,
    `${Math.max(...lengths)}`,
  );
  t.is(host.errors.join(''), '');
});

test('a host that reads odd entries at its start serves the sound endpoints', async t => {
  const fleet = await EdgeFleet.start(t);
  for (const [id, text] of Object.entries(ODD_ENTRIES))
    fleet.site.put('keyed.servers', id, text);
  await fleet.endpoint('register-1');
  fleet.configure(['first']);
  const host = await fleet.host('host-1');
  await fleet.ready(host);
  for (let round = 0; round < 20; round++)
    t.is((await fleet.read(host, 'first'))[0], 200);
  const named = new Set(
    host.lines
      .filter(({event}) => event === 'record-malformed')
      .map(({fields}) => fields['key']),
  );
  const usable = ['deep-unknown', 'key-twice'];
  const odd = Object.keys(ODD_ENTRIES).filter(id => !usable.includes(id));
  await until(() => odd.length > 0);
  t.deepEqual(
    odd.filter(id => !named.has(id)),
    [],
  );
});
