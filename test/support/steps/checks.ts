/** Steps that look at what came of it. */
import {strict} from 'node:assert';

import * as z from 'zod';

import {usageReportSchema} from '../../../source/platform/index.js';
import {plannedEndpoints} from '../../../tools/deployments.js';
import {ask, until} from '../../../tools/fleet.js';
import type {ScenarioWorld} from '../world.js';
import {same, starts, statusOf, step, type Step} from './step.js';

export const CHECKS: Step[] = [
  step('every stream came whole', async ({streams}) => {
    const codes = (await Promise.all(streams)).map(({code}) => code);
    same([...new Set(codes)], ['whole']);
  }),
  step(
    'every stream of {word} ended with {word}',
    async ({streams}, team: string, code: string) => {
      const results = (await Promise.all(streams)).filter(
        found => found.team === team,
      );
      same([...new Set(results.map(found => found.code))], [code]);
    },
  ),
  step(
    'the last answer is {int} with outcome {word}',
    async ({calls}, status: number, outcome: string) => {
      const last = await calls.at(-1);
      same([last?.status, last?.outcome], [status, outcome]);
    },
  ),
  step(
    'the last answer is {int}, {word}, with outcome {word}',
    async ({calls}, status: number, code: string, outcome: string) => {
      const last = await calls.at(-1);
      const found = [last?.status, last?.code, last?.outcome];
      same(found, [status, code, outcome]);
    },
  ),
  step('the last answer repeats the first', async ({calls}) => {
    const [first, last] = [await calls[0], await calls.at(-1)];
    same(last?.repeat, true);
    same(last?.body, first?.body);
  }),
  step('the register holds {int} entries', async (world, count: number) => {
    const ledgers = await world.ledgers('register');
    const entries = [...ledgers.values()].flatMap(
      ledger => ledger.entries ?? [],
    );
    same(entries.length, count);
  }),
  step(
    'host {int} refuses {word} with {word}',
    async (world, number: number, team: string, code: string) => {
      await until(`refusal ${code}`, async () => {
        const host = world.host(number);
        const {code: found} = await world.call(
          team,
          'GET',
          '/register/x',
          undefined,
          host,
          undefined,
        );
        return found === code || undefined;
      });
    },
  ),
  step(
    'host {int} refuses {word} with {word} from its first answer on',
    async (world, number: number, team: string, code: string) => {
      const host = world.host(number);
      const {code: found} = await world.call(
        team,
        'GET',
        '/register/x',
        undefined,
        host,
        undefined,
      );
      same(found, code);
    },
  ),
  step(
    'host {int} serves {word}',
    async (world, number: number, team: string) => {
      await until(`service of ${team}`, async () => {
        const host = world.host(number);
        const {status} = await world.call(
          team,
          'GET',
          '/register/x',
          undefined,
          host,
          undefined,
        );
        return status === 200 || undefined;
      });
    },
  ),
  step('no endpoint has seen a key', async world => {
    for (const [, {keysSeen}] of [
      ...(await world.ledgers('drafting')),
      ...(await world.ledgers('register')),
    ]) {
      same(keysSeen, 0);
    }
  }),
  step(
    'every host knows that zone {word} is out',
    async (world, zone: string) => {
      const names = plannedEndpoints(world.fleet.deployment)
        .filter(found => found.zone === zone)
        .map(found => found.name);
      await until('zone out', async () => {
        for (const index of world.fleet.hosts.keys()) {
          const status = await statusOf(world, index + 1);
          const still = status.endpoints.some(
            ({name, zoneIn}) => names.includes(name) && zoneIn,
          );
          if (still) return undefined;
        }
        return true;
      });
    },
  ),
  step(
    'every host knows that {word} is {word}',
    async (world, endpoint: string, state: string) => {
      await until(`${endpoint} ${state}`, async () => {
        for (const index of world.fleet.hosts.keys()) {
          const {endpoints} = await statusOf(world, index + 1);
          const found = endpoints.find(({name}) => name === endpoint);
          if (found?.state !== state) return undefined;
        }
        return true;
      });
    },
  ),
  step('the starts are noted', async world => {
    world.marked = await starts(world);
  }),
  step('{word} has had no start since', async (world, endpoint: string) => {
    same((await starts(world)).get(endpoint), world.marked.get(endpoint));
  }),
  step('{word} has had starts since', async (world, endpoint: string) => {
    const now = (await starts(world)).get(endpoint) ?? 0;
    strict.ok(now > (world.marked.get(endpoint) ?? 0));
  }),
  step(
    '{word} never ran more than {int} while cold',
    async (world, endpoint: string, most: number) => {
      const {coldMost} = await world.ledger(endpoint);
      strict.ok((coldMost ?? 0) <= most, `ran ${coldMost}`);
    },
  ),
  step(
    'host {int} leaves with code {int}',
    async (world, number: number, code: number) => {
      same(await world.host(number).exited, code);
    },
  ),
  step(
    'host {int} holds {string}',
    async (world, number: number, lease: string) => {
      await until(`holder of ${lease}`, async () => {
        const {leases} = await statusOf(world, number);
        return (
          leases.some(
            found => found.lease === lease && found.state === 'holding',
          ) || undefined
        );
      });
    },
  ),
  step(
    'another host than {int} holds {string}',
    async (world, number: number, lease: string) => {
      await until(`holder of ${lease}`, async () => {
        for (const index of world.fleet.hosts.keys()) {
          if (index === number - 1) continue;
          const {leases} = await statusOf(world, index + 1);
          if (
            leases.some(
              found => found.lease === lease && found.state === 'holding',
            )
          )
            return true;
        }
        return undefined;
      });
    },
  ),
  step('the holder of {string} is frozen', async (world, lease: string) => {
    for (const [index, host] of world.fleet.hosts.entries()) {
      const {leases} = await statusOf(world, index + 1);
      const holds = leases.some(
        found => found.lease === lease && found.state === 'holding',
      );
      if (!holds) continue;
      world.frozen = index + 1;
      host.process.kill('SIGSTOP');
      return;
    }
    throw new Error(`nobody holds ${lease}`);
  }),
  step('a host that is not frozen holds {string}', (world, lease: string) =>
    until(`successor for ${lease}`, async () => {
      for (const index of world.fleet.hosts.keys()) {
        if (index + 1 === world.frozen) continue;
        const {leases} = await statusOf(world, index + 1);
        if (
          leases.some(
            found => found.lease === lease && found.state === 'holding',
          )
        )
          return true;
      }
      return undefined;
    }).then(() => {}),
  ),
  step('the frozen host thaws', world => {
    world.host(world.frozen).process.kill('SIGCONT');
    world.frozen = 0;
  }),
  step('usage reports add up to what the engines ran', async world => {
    await until('usage', async () => {
      const [reported, ran] = [
        await reportedTokens(world),
        await ranTokens(world),
      ];
      return (ran > 0 && reported === ran) || undefined;
    });
  }),
  step(
    'no window was reported with two sets of figures, nor by two holders',
    async world => {
      const reports = await usageReports(world);
      strict.ok(reports.length > 0);
      const figures = new Map<string, string>();
      let fence = -1;
      for (const report of reports) {
        const key = `${report.region} ${report.window}`;
        const text = JSON.stringify(report.figures);
        same(figures.get(key) ?? text, text);
        figures.set(key, text);
        strict.ok(report.fence >= fence, 'a former holder reported');
        fence = report.fence;
      }
    },
  ),
  step('all hosts have the same configuration', async world => {
    const schema = z.object({digest: z.string()});
    await until('one digest', async () => {
      const digests = new Set<string>();
      for (const {operators} of world.fleet.hosts) {
        digests.add(
          schema.parse(await ask(operators, 'GET', '/status')).digest,
        );
      }
      return digests.size === 1 || undefined;
    });
  }),
];

async function usageReports({fleet}: ScenarioWorld) {
  const reports = await ask(fleet.platform.address, 'GET', '/usage-reports');
  return z.array(usageReportSchema).parse(reports);
}

async function reportedTokens(world: ScenarioWorld): Promise<number> {
  const windows = new Map(
    (await usageReports(world)).map(report => [report.window, report.figures]),
  );
  return [...windows.values()]
    .flat()
    .reduce((sum, {tokens}) => sum + tokens, 0);
}

async function ranTokens(world: ScenarioWorld): Promise<number> {
  const ledgers = await world.ledgers('drafting');
  return [...ledgers.values()].reduce(
    (sum, {tokens}) => sum + (tokens ?? 0),
    0,
  );
}
