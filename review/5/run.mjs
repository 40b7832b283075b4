/**
 * One engine of three sends, as one answer in twenty and for 5 s at a time, the
 * head of a stream and then an event without end, in chunks of one byte. Counts
 * the requests that are unanswered at their route's timeout, and those of them
 * that are still unanswered half a second later.
 */
import {performance} from 'node:perf_hooks';
import {clearInterval, setInterval} from 'node:timers';
import {URL, fileURLToPath} from 'node:url';

import {configuration, PROMPT_HEADERS, send} from '../support/client.mjs';
import {Deployment, Record, sleep} from '../support/deployment.mjs';
import {Engine, sendChunksWithoutEnd} from '../support/engine.mjs';

const HOSTS = 2;
const SPELLS = 4;
const SPELL_MILLISECONDS = 5_000;
const PAUSE_MILLISECONDS = 8_000;
/** One in so many answers of the engine in trouble is spoiled. */
const SPOILED_ONE_IN = 20;
const REQUESTS_PER_SECOND = 40;
/** The timeouts of the routes, and the rule's half second. */
const TIMEOUTS_MILLISECONDS = {read: 800, draft: 12_000};
const LATE_MILLISECONDS = 500;
/** Requests from which the rule counts. */
const MIN_OVERDUE = 8;

const isTroubled = process.env.TROUBLE !== '0';
const record = new Record(fileURLToPath(new URL('.', import.meta.url)));
const deployment = new Deployment(record);

let isInTrouble = false;
let answers = 0;
let spoiled = 0;

function spoil(message, response, {id: engine}) {
  if (!isInTrouble || ++answers % SPOILED_ONE_IN !== 0) return false;
  spoiled++;
  record.add(`engine ${engine} spoils ${message.headers['x-attempt-id']}`);
  sendChunksWithoutEnd(message, response, {status: '200 OK', chunk: 'x'});
  return true;
}

/** Longest time for which this script's own event loop stood still. */
function watchOwnDelay() {
  let longest = 0;
  let before = performance.now();
  setInterval(() => {
    const now = performance.now();
    longest = Math.max(longest, now - before - 20);
    before = now;
  }, 20).unref();
  return () => Math.round(longest);
}

async function run() {
  const ownDelay = watchOwnDelay();
  await deployment.start();
  deployment.configure(3, configuration());
  const engines = [0, 1, 2].map(
    index =>
      new Engine(deployment, {
        id: `engine-${index}`,
        service: 'redattore',
        spoil: index === 0 ? spoil : undefined,
      }),
  );
  const registers = [0, 1].map(
    index =>
      new Engine(deployment, {
        id: `register-${index}`,
        service: 'registro',
        slots: 6,
      }),
  );
  for (const engine of [...engines, ...registers]) await engine.start();
  await deployment.startHosts(HOSTS, {zones: ['palermo', 'catania']});
  record.add('all processes are ready');

  const pending = [];
  let number = 0;
  const traffic = setInterval(() => {
    const host = deployment.hosts[number % HOSTS];
    const id = `attempt-${++number}`;
    const isStream = Math.floor(number / HOSTS) % 4 !== 0;
    const sent = isStream
      ? {
          path: `/draft/${number}`,
          method: 'POST',
          body: 'x'.repeat(1_700),
          deadline: 12_000,
          headers: {
            ...PROMPT_HEADERS,
            'x-prefix-hash': `ab:800,${number}:410`,
          },
        }
      : {path: `/read/${number}`, deadline: 1_500};
    pending.push(
      send(host.front, {id, ...sent}).then(answer => {
        const {status, error, milliseconds} = answer;
        record.add(
          `${id} ${sent.path} by ${host.name}: ${status || error} ` +
            `after ${Math.round(milliseconds)} ms`,
        );
        return answer;
      }),
    );
  }, 1_000 / REQUESTS_PER_SECOND);

  await sleep(2_000);
  for (let spell = 0; spell < SPELLS; spell++) {
    isInTrouble = isTroubled;
    await sleep(SPELL_MILLISECONDS);
    isInTrouble = false;
    await sleep(PAUSE_MILLISECONDS);
  }
  clearInterval(traffic);
  const results = await Promise.race([
    Promise.all(pending),
    sleep(16_000).then(() => []),
  ]);
  const overtime = ({path, milliseconds}) =>
    milliseconds - TIMEOUTS_MILLISECONDS[path.split('/')[1]];
  const overdue = results.filter(result => overtime(result) > 0);
  const late = overdue.filter(result => overtime(result) > LATE_MILLISECONDS);
  const ends = deployment.hosts.map(host => host.ends.length);
  record.add(
    `requests ${results.length}, unanswered at their route's timeout ` +
      `${overdue.length}, of these unanswered ${LATE_MILLISECONDS} ms later ` +
      `${late.length}; spoiled ${spoiled}; ends ${ends.join(', ')}; ` +
      `longest delay of this script ${ownDelay()} ms`,
  );
  for (const engine of [...engines, ...registers]) engine.stop();
  if (results.length === 0) throw new Error('the requests did not end');
  return overdue.length >= MIN_OVERDUE && late.length * 2 > overdue.length;
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
