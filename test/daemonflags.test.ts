/** Flags of the daemon that are wrong: it ends at once and says which. */
import test from 'ava';

import {startProgram} from '../tools/fleet.js';
import {freeAddress} from '../tools/ports.js';

const SETTINGS: ReadonlyArray<{
  readonly title: string;
  readonly flags: readonly string[];
  readonly says: RegExp;
}> = [
  {
    title: 'an unknown flag',
    flags: ['--nonsense=1'],
    says: /--nonsense: is not known/,
  },
  {title: 'a missing flag', flags: [], says: /--name: is required/},
  {
    title: 'a wrong address',
    flags: ['--name=h', '--zone=z', '--region=r', '--callers=nowhere'],
    says: /--callers: an IP number and a port/,
  },
  {
    title: 'a port that is none',
    flags: ['--name=h', '--zone=z', '--region=r', '--callers=127.0.0.1:99999'],
    says: /--callers: an IP number and a port/,
  },
  {
    title: 'a word that is no flag',
    flags: ['serve'],
    says: /serve: is not a flag/,
  },
];

for (const {title, flags, says} of SETTINGS) {
  test(`${title} ends the daemon with 2 and is named`, async t => {
    const program = startProgram(
      'arbutusslipd',
      'wrong',
      await freeAddress(),
      flags,
    );
    t.is(await program.exited, 2);
    t.regex(program.errors(), says);
  });
}
