/** What a case has seen, in `record.txt` of its folder, and how the case ends. */
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';

/** The record of one run. */
export class CaseRecord {
  #lines = [];
  #startedAt = performance.now();

  constructor(folder) {
    this.path = `${folder}/record.txt`;
  }

  /** Adds a line with the seconds since the start. */
  note(text) {
    const seconds = (performance.now() - this.#startedAt) / 1_000;
    this.#lines.push(`${seconds.toFixed(3).padStart(8)} s  ${text}`);
  }

  write() {
    writeFileSync(this.path, `${this.#lines.join('\n')}\n`);
  }
}

/**
 * Plays a case. Ends the process with 1 if the rule was broken, 0 if it held and 2
 * if the case could not run. `play` returns a sentence for each break.
 */
export async function runCase(folder, play) {
  const record = new CaseRecord(folder);
  const isTroubled = process.env.TROUBLE !== '0';
  const cleanups = [];
  let code = 2;
  try {
    const breaks = await play({
      record,
      isTroubled,
      onEnd: cleanup => cleanups.unshift(cleanup),
    });
    for (const text of breaks) record.note(`BROKEN ${text}`);
    code = breaks.length > 0 ? 1 : 0;
    record.note(code === 1 ? 'the rule was broken' : 'the rule held');
  } catch (error) {
    record.note(`could not run: ${error.stack}`);
    process.stdout.write(`could not run: ${error.message}\n`);
  }
  for (const cleanup of cleanups) await cleanup();
  record.write();
  process.stdout.write(`exit ${code}, see ${record.path}\n`);
  process.exit(code);
}
