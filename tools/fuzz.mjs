/** Runs the fuzz tests without end, at a new seed each time. */
import {spawnSync} from 'node:child_process';
import {randomInt} from 'node:crypto';

import {install} from './steps.mjs';

const FUZZED = [
  'lease',
  'configuration',
  'claims',
  'usage',
  'credits',
  'admission',
  'relay',
];

install();
for (let round = 1; ; round++) {
  const seed = String(randomInt(2 ** 31));
  console.log(`round ${round}, seed ${seed}`);
  const files = FUZZED.map(name => `test/${name}.test.ts`);
  const {status} = spawnSync('npx', ['ava', ...files], {
    stdio: 'inherit',
    env: {...process.env, FUZZ_SEED: seed, FUZZ_RUNS: '4'},
  });
  if (status !== 0) process.exit(status ?? 1);
}
