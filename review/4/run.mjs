/**
 * One part of a prompt crashes each engine that begins to write an answer on it:
 * the engine has written the first bytes of the head when it ends, and is back
 * three seconds later. Counts the requests with the part that still reach engines
 * once the system has had `contactMs` since the fifth crash, and says how the sound
 * requests fared.
 */
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {URL, fileURLToPath} from 'node:url';

import {
  configuration,
  PROMPT_HEADERS,
  route,
  send,
} from '../support/client.mjs';
import {Deployment, Record, sleep} from '../support/deployment.mjs';
import {Engine} from '../support/engine.mjs';

const HOSTS = 2;
const ENGINES = 6;
const SECONDS = 22;
const BACK_AFTER_MILLISECONDS = 3_000;
const SOUND_PER_SECOND = 20;
/** One in 21 requests is deadly, a share of 0.048. */
const DEADLY_INTERVAL_MILLISECONDS = 1_000;
/** Engines are cold after a start during traffic. */
const COLD_MILLISECONDS = 3_000;
const DEADLY_PART = 'dead0001';
const SHARED_PART = '50d00001';
/** Second parts of the sound requests. */
const GLOSSARIES = 4;
const CONTACT_MILLISECONDS = 3_000;
/** The bounds of the rules. */
const CRASHES = 5;
const MAX_ARRIVALS = 3;
const MIN_REQUESTS = 20;
const MIN_RELATIVE_SHARE = 0.5;

const isTroubled = process.env.TROUBLE !== '0';
/** What an engine has written when it crashes; empty for nothing. */
const WRITTEN = process.env.WRITTEN ?? 'HTTP/1.1 200 OK\r\nContent-Type: text/';
const record = new Record(fileURLToPath(new URL('.', import.meta.url)));
const deployment = new Deployment(record);
const slots = [];
const crashes = [];
const arrivals = [];
/** Ids of the attempts that engines ran before they crashed. */
const ran = new Set();

/** Starts the engine of a slot anew, as another incarnation at the same port. */
async function startEngine(slot) {
  slot.starts++;
  const id = `engine-${slot.index}-${slot.starts}`;
  const engine = new Engine(deployment, {
    id,
    service: 'redattore',
    cold: slot.starts > 1 ? COLD_MILLISECONDS : 0,
    spoil: (message, response) => crashOn(slot, message, response),
  });
  await engine.start(slot.port);
  slot.port = engine.port;
  slot.engine = engine;
}

/** Crashes the engine on a request with the part; returns whether it does. */
function crashOn(slot, message, response) {
  const prefix = message.headers['x-prefix-hash'] ?? '';
  if (!prefix.includes(DEADLY_PART)) return false;
  const at = performance.now();
  arrivals.push(at);
  const {engine} = slot;
  record.add(`${engine.id} gets ${message.headers['x-attempt-id']}`);
  if (WRITTEN !== '') response.socket.write(WRITTEN);
  setTimeout(() => crash(slot, engine), 5);
  return true;
}

function crash(slot, engine) {
  if (slot.engine !== engine) return;
  slot.engine = undefined;
  crashes.push(performance.now());
  for (const id of engine.runs.keys()) ran.add(id);
  record.add(`${engine.id} crashes, the ${crashes.length}. crash`);
  engine.stop();
  setTimeout(() => {
    deployment.enter(engine.id, undefined);
    startEngine(slot).catch(error => record.add(String(error)));
  }, BACK_AFTER_MILLISECONDS);
}

function sendPrompt(host, id, part) {
  const prefix = `${SHARED_PART}:800,${part}:410,${id}:250`;
  const sentAt = performance.now();
  return send(host.front, {
    id,
    path: `/draft/${id}`,
    method: 'POST',
    body: `prompt ${id}`.repeat(100),
    deadline: 4_000,
    headers: {...PROMPT_HEADERS, 'x-prefix-hash': prefix},
  }).then(answer => {
    const {status, error, milliseconds} = answer;
    const time = Math.round(milliseconds);
    record.add(`${id} by ${host.name}: ${status || error} after ${time} ms`);
    return {...answer, sentAt};
  });
}

function percent(share) {
  return `${Math.round(share * 100)} %`;
}

async function run() {
  await deployment.start();
  const {routes, ...others} = configuration();
  const draft = route('draft', 'redattore', {
    kind: 'streaming',
    timeoutMs: 4_000,
    maxAttempts: 2,
    resumable: true,
    sticky: true,
    sloMs: 600,
  });
  deployment.configure(3, {...others, routes: [draft, ...routes.slice(1)]});
  for (let index = 0; index < ENGINES; index++) {
    const slot = {index, starts: 0, port: 0, engine: undefined};
    slots.push(slot);
    await startEngine(slot);
  }
  await deployment.startHosts(HOSTS, {zones: ['palermo', 'catania']});
  record.add('all processes are ready');

  const sound = [];
  const deadly = [];
  let number = 0;
  const soundTimer = setInterval(() => {
    const host = deployment.hosts[++number % HOSTS];
    sound.push(
      sendPrompt(host, `sound-${number}`, `c0ffee${number % GLOSSARIES}`),
    );
  }, 1_000 / SOUND_PER_SECOND);
  await sleep(3_000);
  const deadlyTimer = setInterval(() => {
    if (!isTroubled) return;
    const host = deployment.hosts[deadly.length % HOSTS];
    const id = `deadly-${deadly.length + 1}`;
    deadly.push(sendPrompt(host, id, DEADLY_PART));
  }, DEADLY_INTERVAL_MILLISECONDS);
  await sleep(SECONDS * 1_000);
  clearInterval(deadlyTimer);
  clearInterval(soundTimer);
  const results = await Promise.all(sound);
  await Promise.all(deadly);

  const fifth = crashes[CRASHES - 1] ?? Infinity;
  const late = arrivals.filter(at => at > fifth + CONTACT_MILLISECONDS);
  const isBegun = ({text}) => text.startsWith('id: ');
  const before = results.filter(
    ({sentAt}) => sentAt < (crashes[0] ?? Infinity),
  );
  const after = results.filter(
    ({sentAt}) => sentAt > fifth + 2 * CONTACT_MILLISECONDS,
  );
  const shareBefore = before.filter(isBegun).length / before.length;
  const shareAfter = after.filter(isBegun).length / Math.max(after.length, 1);
  record.add(
    `deadly requests sent ${deadly.length}, arrivals ${arrivals.length}, ` +
      `crashes ${crashes.length}; arrivals later than ` +
      `${CONTACT_MILLISECONDS} ms after the fifth crash ${late.length}; ` +
      `sound requests before the first crash ${before.length}, begun ` +
      `${percent(shareBefore)}; from ${2 * CONTACT_MILLISECONDS} ms after the ` +
      `fifth crash ${after.length}, begun ${percent(shareAfter)}; ` +
      `ends of processes ${deployment.hosts.map(({ends}) => ends.length)}`,
  );
  for (const {engine} of slots) {
    for (const id of engine?.runs.keys() ?? []) ran.add(id);
    engine?.stop();
  }
  const isLost =
    Math.min(before.length, after.length) >= MIN_REQUESTS &&
    shareAfter < shareBefore * MIN_RELATIVE_SHARE;
  record.add(`LOST ${isLost}, BUDGET ${late.length > MAX_ARRIVALS}`);
  const unserved = results.filter(({status}) => status !== 200);
  const accepted = unserved.filter(({id}) => ran.has(id)).length;
  record.add(
    `sound requests ${results.length}, of which not served ${unserved.length}, ` +
      `of these run by an engine ${accepted}`,
  );
  return late.length > MAX_ARRIVALS;
}

let exitCode = 2;
try {
  exitCode = (await run()) ? 1 : 0;
} catch (error) {
  record.add(`could not run: ${error.stack}`);
}
await deployment.stop();
record.add(exitCode === 1 ? 'the rule was broken' : `exit ${exitCode}`);
process.exit(exitCode);
