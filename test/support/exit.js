/**
 * Ends a test worker as soon as nothing keeps its event loop alive. Left to itself,
 * Node then waits for its closed handles, and has been seen to spin there without
 * end, so that the run failed though all tests had passed.
 */
import process from 'node:process';

process.on('beforeExit', () => process.exit());
