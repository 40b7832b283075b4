/** Steps that set a fleet up and make requests. */
import {until} from '../../../tools/fleet.js';
import {statusOf, step, type Step} from './step.js';

export const GIVEN: Step[] = [
  step('hosts with {string}', ({hostFlags}, flag: string) => {
    hostFlags.push(flag);
  }),
  step('engines with {string}', ({engineFlags}, flag: string) => {
    engineFlags.push(flag);
  }),
  step(
    'a {word} fleet of {int} hosts',
    (world, name: 'consorzio', hosts: number) => world.start(name, hosts),
  ),
  step('all hosts are linked', world =>
    until('links', async () => {
      for (const index of world.fleet.hosts.keys()) {
        const {peers} = await statusOf(world, index + 1);
        if (peers.length < world.fleet.hosts.length - 1) return undefined;
      }
      return true;
    }).then(() => {}),
  ),
];

export const CALLERS: Step[] = [
  step(
    '{int} callers of {word} stream from {word}',
    (world, count: number, team: string, model: string) => {
      for (let index = 0; index < count; index++)
        void world.stream(team, model);
    },
  ),
  step(
    'a caller of {word} streams from {word} through host {int}',
    (world, team: string, model: string, number: number) => {
      void world.stream(team, model, world.host(number));
    },
  ),
  step(
    '{word} posts {string} with key {word} through host {int}',
    async (world, team: string, body: string, key: string, number: number) => {
      await world.call(
        team,
        'POST',
        '/register/r',
        key,
        world.host(number),
        body,
      );
    },
  ),
  step(
    '{word} is posting {string} with key {word} through host {int}',
    (world, team: string, body: string, key: string, number: number) => {
      void world.call(
        team,
        'POST',
        '/register/r',
        key,
        world.host(number),
        body,
      );
    },
  ),
  step(
    '{word} posts {string} without a key through host {int}',
    async (world, team: string, body: string, number: number) => {
      const host = world.host(number);
      await world.call(team, 'POST', '/register/r', undefined, host, body);
    },
  ),
  step(
    '{word} looks up {string} through host {int}',
    async (world, team: string, path: string, number: number) => {
      const host = world.host(number);
      await world.call(team, 'GET', path, undefined, host, undefined);
    },
  ),
  step('all callers are done', async ({streams, calls}) => {
    await Promise.all([...streams, ...calls]);
  }),
];
