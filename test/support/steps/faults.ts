/** Steps in which something fails, changes or is withdrawn. */
import {
  changeZone,
  publish,
  readLog,
  withdrawKey,
} from '../../../source/operator/index.js';
import type {ScenarioWorld} from '../world.js';
import {same, sleep, step, type Step} from './step.js';

async function publishFor(
  {fleet}: ScenarioWorld,
  make: (
    configuration: Awaited<ReturnType<typeof readLog>>['configuration'],
  ) => Parameters<typeof publish>[1],
): Promise<void> {
  const platform = fleet.client();
  const {configuration} = await readLog(platform);
  const {verdict} = await publish(platform, make(configuration));
  same(verdict.kind, 'accepted');
}

export const FAULTS: Step[] = [
  step('{int} ms pass', (_, duration: number) => sleep(duration)),
  step('host {int} is frozen', (world, number: number) => {
    world.host(number).process.kill('SIGSTOP');
  }),
  step('host {int} thaws', (world, number: number) => {
    world.host(number).process.kill('SIGCONT');
  }),
  step('host {int} is killed', async (world, number: number) => {
    const {process, exited} = world.host(number);
    process.kill('SIGKILL');
    await exited;
  }),
  step('host {int} is told to leave', (world, number: number) => {
    world.host(number).process.kill('SIGTERM');
  }),
  step('host {int} is cut off from the platform', (world, number: number) => {
    world.wires.get(world.host(number).name)?.cut();
  }),
  step('host {int} reaches the platform again', (world, number: number) => {
    world.wires.get(world.host(number).name)?.heal();
  }),
  step('a host starts in {word}', async (world, zone: string) => {
    await world.fleet.startHost(zone);
  }),
  step('the platform is away', ({fleet}) =>
    fleet.control('platform', {outage: true}),
  ),
  step('the platform is back', ({fleet}) =>
    fleet.control('platform', {outage: false}),
  ),
  step('the platform loses {int} answers', ({fleet}, loseAnswers: number) =>
    fleet.control('platform', {loseAnswers}),
  ),
  step('the platform keeps {int} records', ({fleet}, retention: number) =>
    fleet.control('platform', {retention}),
  ),
  step('the platform is {int} ms slow', ({fleet}, delay: number) =>
    fleet.control('platform', {delay}),
  ),
  step(
    '{word} is set to {string}',
    ({fleet}, endpoint: string, faults: string) =>
      fleet.control(endpoint, JSON.parse(faults)),
  ),
  step(
    'every {word} endpoint is set to {string}',
    async (world, pool: string, faults: string) => {
      for (const name of world.fleet.endpoints.keys()) {
        if (name.startsWith(`${pool}-`)) {
          await world.fleet.control(name, JSON.parse(faults));
        }
      }
    },
  ),
  step('{word} crashes', async ({fleet}, endpoint: string) => {
    const program = fleet.endpoints.get(endpoint);
    program?.process.kill('SIGKILL');
    await program?.exited;
  }),
  step('the key of {word} is withdrawn', (world, team: string) =>
    publishFor(world, configuration =>
      withdrawKey(configuration, `${team}-first`),
    ),
  ),
  step('zone {word} is taken out', (world, zone: string) =>
    publishFor(world, configuration => changeZone(configuration, zone, 'out')),
  ),
  step('zone {word} is brought back', (world, zone: string) =>
    publishFor(world, configuration => changeZone(configuration, zone, 'in')),
  ),
];
