/**
 * Starts the programs of a deployment as an operator would, on loopback, and
 * ends them again. The quickstart, the measurements and the scenarios use it.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';

import * as z from 'zod';

import type {ReleaseNote} from '../source/configuration/index.js';
import {createKey, publish} from '../source/operator/index.js';
import {HttpPlatform} from '../source/platform/index.js';
import {callJson} from '../source/wire/index.js';
import {freeAddress} from './ports.js';
import {
  firstNote,
  plannedEndpoints,
  type Deployment,
  type PlannedEndpoint,
} from './deployments.js';

const READY_MILLISECONDS = 15_000;
const CALL_MILLISECONDS = 3_000;
const POLL_MILLISECONDS = 25;

/** A program that was started. */
export interface Program {
  readonly name: string;
  readonly address: string;
  readonly process: ChildProcess;
  readonly exited: Promise<number | null>;
  readonly errors: () => string;
}

/** A started host with its three ports. */
export interface HostProgram extends Program {
  readonly zone: string;
  readonly operators: string;
}

/** Starts a program of dist/. */
export function startProgram(
  program: string,
  name: string,
  address: string,
  flags: readonly string[],
): Program {
  const path = fileURLToPath(new URL(`../dist/${program}.js`, import.meta.url));
  const child = spawn(process.execPath, [path, ...flags], {
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  let errors = '';
  child.stderr?.on('data', (text: Buffer) => {
    errors = (errors + text.toString()).slice(-20_000);
  });
  const exited = new Promise<number | null>(resolve => {
    // All that it has written has been read by then.
    child.once('close', code => resolve(code));
  });
  return {name, address, process: child, exited, errors: () => errors};
}

/** Asks until the answer is there; throws after `READY_MILLISECONDS`. */
export async function until<T>(
  what: string,
  ask: () => Promise<T | undefined>,
): Promise<T> {
  const deadline = performance.now() + READY_MILLISECONDS;
  for (;;) {
    const answer = await ask().catch(() => undefined);
    if (answer !== undefined) return answer;
    if (performance.now() > deadline) throw new Error(`${what} did not come`);
    await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS));
  }
}

/** A JSON call to a program, unchecked. */
export function ask(
  address: string,
  method: string,
  path: string,
  body?: unknown,
): Promise<unknown> {
  const bound = CALL_MILLISECONDS;
  return callJson({address, method, path, body, bound}, z.unknown());
}

/** How a fleet differs from its deployment’s description. */
export interface FleetOptions {
  /** Flags for every host, after those that the fleet sets. */
  readonly hostFlags?: readonly string[];
  readonly engineFlags?: readonly string[];
  readonly platformFlags?: readonly string[];
  /** Gives each host its own way to the platform. */
  readonly wayToPlatform?: (host: string, platform: string) => Promise<string>;
}

/** The running programs of a deployment. */
export class Fleet {
  readonly hosts: HostProgram[] = [];
  readonly endpoints = new Map<string, Program>();
  /** The text of each team’s key. */
  readonly keys = new Map<string, string>();
  platform!: Program;
  private hostCount = 0;

  private constructor(
    readonly deployment: Deployment,
    private readonly options: FleetOptions,
  ) {}

  /** Starts everything and waits until every host serves the first note. */
  static async start(
    deployment: Deployment,
    options: FleetOptions = {},
  ): Promise<Fleet> {
    const fleet = new Fleet(deployment, options);
    try {
      await fleet.startPlatform();
      await Promise.all(
        plannedEndpoints(deployment).map((planned, index) =>
          fleet.startEndpoint(planned, index),
        ),
      );
      const {zones, hosts} = deployment;
      await Promise.all(
        Array.from({length: hosts}, (_, index) =>
          fleet.startHost(zones[index % zones.length] ?? ''),
        ),
      );
      return fleet;
    } catch (error) {
      fleet.stop();
      throw error;
    }
  }

  /** The platform as hosts and operators see it. */
  client(): HttpPlatform {
    return new HttpPlatform(this.platform.address);
  }

  /** The first release note, with a new key for every team. */
  note(): ReleaseNote {
    const keys = this.deployment.teams.map(({name: team}) => {
      const {text, digest} = createKey();
      this.keys.set(team, text);
      return {team, digest};
    });
    const addresses = new Map(
      [...this.endpoints].map(([name, {address}]) => [name, address]),
    );
    return firstNote(this.deployment, addresses, keys);
  }

  /** Publishes the first note and waits until every host sees a warm fleet. */
  async configure(): Promise<void> {
    const {offset} = await publish(this.client(), this.note());
    await this.applied(offset);
    await until('warm endpoints', async () => {
      const warm = await Promise.all(this.hosts.map(isWarm));
      return warm.every(Boolean) || undefined;
    });
  }

  /** Waits until every host has applied the log up to an offset. */
  async applied(offset: number): Promise<void> {
    const schema = z.object({applied: z.number()});
    await until(`offset ${offset}`, async () => {
      const statuses = await Promise.all(
        this.hosts.map(({operators}) => ask(operators, 'GET', '/status')),
      );
      const all = statuses.every(
        status => schema.parse(status).applied >= offset,
      );
      return all || undefined;
    });
  }

  /** Starts one more host and waits until it is ready. */
  async startHost(zone: string): Promise<HostProgram> {
    this.hostCount++;
    const name = `host-${this.hostCount}`;
    const [callers, operators, peers] = await Promise.all([
      freeAddress(),
      freeAddress(),
      freeAddress(),
    ]);
    const {address} = this.platform;
    const way = this.options.wayToPlatform;
    const platform = way ? await way(name, address) : address;
    const flags = [
      `--name=${name}`,
      `--zone=${zone}`,
      `--region=${this.deployment.region}`,
      `--callers=${callers}`,
      `--operators=${operators}`,
      `--peers=${peers}`,
      `--platform=${platform}`,
      '--peer-secret=the-secret-of-a-test-fleet',
      '--log-level=warn',
      ...(this.options.hostFlags ?? []),
    ];
    const program = startProgram('arbutusslipd', name, callers, flags);
    const host = {...program, zone, operators};
    this.hosts.push(host);
    await until(`${name} ready`, () => ask(operators, 'GET', '/ready'));
    return host;
  }

  /** Ends every program. */
  stop(): void {
    const programs = [...this.hosts, ...this.endpoints.values(), this.platform];
    for (const program of programs) {
      program?.process.kill('SIGCONT');
      program?.process.kill('SIGKILL');
    }
  }

  /** Sets the faults of an endpoint or of the platform. */
  async control(name: string, faults: unknown): Promise<void> {
    const program =
      name === 'platform' ? this.platform : this.endpoints.get(name);
    await ask(program?.address ?? '', 'PUT', '/control', faults);
  }

  private async startPlatform(): Promise<void> {
    const address = await freeAddress();
    const flags = [
      `--listen=${address}`,
      ...(this.options.platformFlags ?? []),
    ];
    this.platform = startProgram(
      'standin-platform',
      'platform',
      address,
      flags,
    );
    await until('platform', () => ask(address, 'GET', '/ready'));
  }

  private async startEndpoint(
    {name, group}: PlannedEndpoint,
    index: number,
  ): Promise<void> {
    const address = await freeAddress();
    const flags = [
      `--listen=${address}`,
      `--name=${name}`,
      `--slots=${group.slots}`,
    ];
    if (group.kind === 'engine') {
      flags.push(`--seed=${index + 1}`, ...(this.options.engineFlags ?? []));
    }
    const program = startProgram(`standin-${group.kind}`, name, address, flags);
    this.endpoints.set(name, program);
    await until(name, () => ask(address, 'GET', '/load'));
  }
}

const endpointsSchema = z.object({
  endpoints: z.array(z.object({state: z.string()})),
});

async function isWarm({operators}: HostProgram): Promise<boolean> {
  const status = await ask(operators, 'GET', '/status');
  const {endpoints} = endpointsSchema.parse(status);
  return endpoints.every(({state}) => state === 'warm');
}
