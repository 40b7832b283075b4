/** A process that exits while a call of its own is on its way to an address. */
import {abandonOpenCalls, callGuarded} from '../../source/wire/index.js';

const EXIT_AFTER_MILLISECONDS = 300;

const [, , address = ''] = process.argv;
process.once('exit', abandonOpenCalls);
setTimeout(() => process.exit(0), EXIT_AFTER_MILLISECONDS);
await callGuarded(
  {address, method: 'POST', path: '/usage', body: {}, bound: 10_000},
  () => true,
);
