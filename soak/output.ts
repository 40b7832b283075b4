/** Keeps what a failed soak has shown: its faults, and all that its hosts wrote. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

import type {HostProcess} from '../test/support/edgeprocess.js';

/** Not under version control. */
const FOLDER = 'build/soak';

/** What is kept of a soak. */
export interface SoakOutput {
  readonly seed: number;
  readonly faults: readonly string[];
  readonly violations: readonly object[];
  readonly processes: readonly HostProcess[];
}

/** Writes a file and returns its path. */
export function keepOutput(output: SoakOutput): string {
  const {seed, faults, violations, processes} = output;
  const now = new Date().toISOString().replaceAll(':', '-');
  const path = join(FOLDER, `seed-${seed}-${now}.jsonl`);
  mkdirSync(FOLDER, {recursive: true});
  const lines = processes.flatMap(({name, child: {pid}, errors, lines}) => [
    {name, pid, errors: errors.join('')},
    ...lines.map(line => ({name, pid, ...line})),
  ]);
  const all = [{seed, faults}, ...violations, ...lines];
  writeFileSync(path, all.map(line => `${JSON.stringify(line)}\n`).join(''));
  return path;
}
