/** Installs, builds and runs the quickstart; flags are passed on. */
import {spawnSync} from 'node:child_process';

import {install, step} from './steps.mjs';

install();
step('build', 'npm', 'run', '--silent', 'build');
const flags = ['dist/quickstart.js', ...process.argv.slice(2)];
const {status} = spawnSync(process.execPath, flags, {stdio: 'inherit'});
process.exit(status ?? 1);
