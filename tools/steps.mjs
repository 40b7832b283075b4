/** Runs the steps of a script one after another and stops at the first failure. */
import {spawnSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';

/** Runs a command; the script ends with its exit code if it fails. */
export function step(name, command, ...flags) {
  console.log(`== ${name}`);
  const {status} = spawnSync(command, flags, {stdio: 'inherit'});
  if (status !== 0) {
    console.log(`== ${name} failed`);
    process.exit(status ?? 1);
  }
}

/** Installs the dependencies unless they are there for this lock file. */
export function install() {
  const marker = 'node_modules/.package-lock.json';
  const lock = 'package-lock.json';
  const fresh =
    existsSync(marker) && statSync(marker).mtimeMs >= statSync(lock).mtimeMs;
  if (!fresh) step('install', 'npm', 'ci');
}
