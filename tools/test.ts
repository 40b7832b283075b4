/**
 * Runs the tests and closes with one line of counts. A test that KNOWN-RED.txt
 * names may fail; it is printed, and no other failure is passed over. What failed
 * tests and their processes wrote is kept in a folder, which the last line names.
 */
import {spawn} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';
import {createInterface} from 'node:readline';

import {
  FailureReports,
  failuresFolder,
  FOLDER_VARIABLE,
  keepFailure,
} from './failures.js';
import {knownTitles, Run} from './verdict.js';

const KNOWN_RED = 'KNOWN-RED.txt';

const red = existsSync(KNOWN_RED) ? readFileSync(KNOWN_RED, 'utf8') : '';
const run = new Run(knownTitles(red));
const reports = new FailureReports();
const folder = failuresFolder(new Date());
process.env[FOLDER_VARIABLE] = folder;
const ava = spawn('npx', ['ava', '--tap', ...process.argv.slice(2)], {
  stdio: ['ignore', 'pipe', 'pipe'],
});
const errors: Buffer[] = [];
ava.stderr.on('data', (part: Buffer) => {
  errors.push(part);
  process.stderr.write(part);
});
const ended = new Promise<number | null>(resolve => ava.once('exit', resolve));
for await (const line of createInterface({input: ava.stdout})) {
  reports.take(line);
  if (run.take(line)) console.log(line);
}
const verdict = run.verdict(await ended);
for (const title of run.known) console.log(`KNOWN-RED ${title}`);
for (const title of run.failed) console.log(`FAILED ${title}`);
console.log(`tests: ${run.passed} passed, ${run.failed.length} failed`);
if (verdict !== 0 && run.failed.length === 0) {
  console.log('FAILED the run did not come to its end');
}
for (const lines of reports.reports)
  keepFailure(`${lines[0]}.txt`, `${lines.join('\n')}\n`);
if (verdict !== 0 && errors.length > 0)
  keepFailure('errors.txt', Buffer.concat(errors).toString());
if (existsSync(folder)) console.log(`output and process logs: ${folder}`);
process.exit(verdict);
