/**
 * What following the store costs a fleet by its size: calls to the store, and bytes
 * between its hosts. Guards against hosts that read the store beside being fed.
 */
import test from 'ava';

import {BeliefWorld} from './support/beliefworld.js';

const SECONDS = 10;
const MILLISECONDS_PER_SECOND = 1_000;
const WRITE_INTERVAL_MILLISECONDS = 250;
const ENTRY = 'x'.repeat(250);
/** Hosts that follow the store for the others. */
const FOLLOWERS = 3;
/** Time in which feeders are found and every host has read once. */
const START_MILLISECONDS = 5_000;

for (const size of [14, 61, 195, 340])
  test(`a fleet of ${size} hosts reads the store through three of them`, async t => {
    const world = new BeliefWorld(size);
    for (let engine = 0; engine < 2 * size; engine++)
      world.write(`engine-${engine}`, ENTRY);
    await world.pass(START_MILLISECONDS);
    const readers = new Set<number>();
    const play = async (name: string, step: () => void) => {
      const callsBefore = world.storeCalls;
      const bytesBefore = world.bytesSent;
      const steps =
        (SECONDS * MILLISECONDS_PER_SECOND) / WRITE_INTERVAL_MILLISECONDS;
      for (let count = 0; count < steps; count++) {
        step();
        await world.pass(WRITE_INTERVAL_MILLISECONDS);
      }
      const calls = world.storeCalls.map(
        (count, index) => count - (callsBefore[index] ?? 0),
      );
      calls.forEach((count, index) => count > 0 && readers.add(index));
      const total = calls.reduce((sum, count) => sum + count, 0);
      const bytes = world.bytesSent - bytesBefore;
      const perHost = Math.round(bytes / SECONDS / size);
      t.log(
        `${name}: ${total / SECONDS} calls a second, ${perHost} bytes a second and host`,
      );
    };
    await play('calm', () => {});
    await play('four writes a second', () => world.write('engine-0', ENTRY));
    world.stop();
    t.true(readers.size <= FOLLOWERS, `${readers.size} hosts read the store`);
  });
