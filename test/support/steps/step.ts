/** What the steps of scenarios are made of. */
import {strict} from 'node:assert';

import * as z from 'zod';

import {ask} from '../../../tools/fleet.js';
import type {ScenarioWorld} from '../world.js';

/** A step: its text as a cucumber expression, and what it does. */
export interface Step {
  readonly text: string;
  readonly run: (
    world: ScenarioWorld,
    ...values: never[]
  ) => Promise<void> | void;
}

export function step(
  text: string,
  run: (world: ScenarioWorld, ...values: never[]) => Promise<void> | void,
): Step {
  return {text, run};
}

/** Says what was found, since the runner shows only an error's message. */
export function same(found: unknown, expected: unknown): void {
  const message = `${JSON.stringify(found)} is not ${JSON.stringify(expected)}`;
  strict.deepEqual(found, expected, message);
}

export function sleep(duration: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, duration));
}

export const statusSchema = z.object({
  incarnation: z.string(),
  name: z.string(),
  state: z.string(),
  applied: z.number(),
  peers: z.array(z.string()),
  leases: z.array(
    z.object({lease: z.string(), state: z.string(), holder: z.string()}),
  ),
  endpoints: z.array(
    z.object({name: z.string(), state: z.string(), zoneIn: z.boolean()}),
  ),
});

export async function statusOf(world: ScenarioWorld, number: number) {
  const {operators} = world.host(number);
  return statusSchema.parse(await ask(operators, 'GET', '/status'));
}

export async function starts(
  world: ScenarioWorld,
): Promise<Map<string, number>> {
  const ledgers = await world.ledgers('drafting');
  return new Map(
    [...ledgers].map(([name, ledger]) => [name, ledger.started ?? 0]),
  );
}
