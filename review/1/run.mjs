/**
 * One engine of three sends, as one answer in twenty and for 5 s at a time, the
 * head of an error and then a body without end in chunks of 16 bytes. Counts how
 * often the processes of the system end by themselves.
 */
import {clearInterval, setInterval} from 'node:timers';
import {URL, fileURLToPath} from 'node:url';

import {configuration, PROMPT_HEADERS, send} from '../support/client.mjs';
import {Deployment, Record, sleep} from '../support/deployment.mjs';
import {Engine, sendChunksWithoutEnd} from '../support/engine.mjs';

const HOSTS = 2;
const SPELLS = 8;
const SPELL_MILLISECONDS = 5_000;
const PAUSE_MILLISECONDS = 5_000;
/** One in so many answers of the engine in trouble is spoiled. */
const SPOILED_ONE_IN = 20;
const REQUESTS_PER_SECOND = 40;
/** The rule's bound: ends of each of two processes. */
const MAX_ENDS = 3;

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
  const chunk = 'data: pasticcio ';
  sendChunksWithoutEnd(message, response, {
    status: '500 Internal Server Error',
    chunk,
  });
  return true;
}

async function run() {
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
    const isStream = number % 4 !== 0;
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
    sleep(13_000).then(() => []),
  ]);
  const ends = deployment.hosts.map(host => host.ends.length);
  const lost = results.filter(({status}) => status === 0).length;
  record.add(
    `sent ${number}, of which ended without an answer ${lost}; ` +
      `spoiled ${spoiled}; processes ended by themselves: ${ends.join(', ')}`,
  );
  for (const engine of [...engines, ...registers]) engine.stop();
  return ends.filter(count => count >= MAX_ENDS).length >= 2;
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
