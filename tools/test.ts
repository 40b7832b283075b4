/**
 * Runs the tests and closes with one line of counts. A test that KNOWN-RED.txt
 * names may fail; it is printed, and no other failure is passed over.
 */
import {spawn} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';
import {createInterface} from 'node:readline';

import {knownTitles, Run} from './verdict.js';

const KNOWN_RED = 'KNOWN-RED.txt';

const red = existsSync(KNOWN_RED) ? readFileSync(KNOWN_RED, 'utf8') : '';
const run = new Run(knownTitles(red));
const ava = spawn('npx', ['ava', '--tap', ...process.argv.slice(2)], {
  stdio: ['ignore', 'pipe', 'inherit'],
});
const ended = new Promise<number | null>(resolve => ava.once('exit', resolve));
for await (const line of createInterface({input: ava.stdout})) {
  if (run.take(line)) console.log(line);
}
const verdict = run.verdict(await ended);
for (const title of run.known) console.log(`KNOWN-RED ${title}`);
for (const title of run.failed) console.log(`FAILED ${title}`);
console.log(`tests: ${run.passed} passed, ${run.failed.length} failed`);
if (verdict !== 0 && run.failed.length === 0) {
  console.log('FAILED the run did not come to its end');
}
process.exit(verdict);
