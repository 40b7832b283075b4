/** What a scenario acts on: a fleet, callers under way, and their results. */
import OpenAI, {APIError} from 'openai';
import * as z from 'zod';

import {DEPLOYMENTS} from '../../tools/deployments.js';
import {ask, Fleet, type HostProgram} from '../../tools/fleet.js';
import {Wire} from './wire.js';

/** What became of a stream. */
export interface StreamResult {
  readonly team: string;
  /** Code of the refusal; `whole` for none. */
  readonly code: string;
  readonly tokens: number;
}

/** An answer of a plain service, or a refusal. */
export interface CallResult {
  readonly status: number;
  readonly code: string;
  readonly outcome: string;
  readonly repeat: boolean;
  readonly body: string;
}

const errorSchema = z.object({
  error: z.object({code: z.string(), outcome: z.string()}),
});
const ledgerSchema = z.object({
  entries: z
    .array(z.object({idempotencyKey: z.string(), body: z.string()}))
    .optional(),
  tokens: z.number().optional(),
  started: z.number().optional(),
  coldMost: z.number().optional(),
  keysSeen: z.number(),
});
type Ledger = z.infer<typeof ledgerSchema>;

/** One scenario's world. */
export class ScenarioWorld {
  fleet!: Fleet;
  readonly streams: Array<Promise<StreamResult>> = [];
  readonly calls: Array<Promise<CallResult>> = [];
  readonly wires = new Map<string, Wire>();
  readonly hostFlags: string[] = [];
  readonly engineFlags: string[] = [];
  readonly platformFlags: string[] = [];
  /** Engines' starts at a moment that the scenario marked. */
  marked = new Map<string, number>();
  /** Number of the host that is frozen; 0 for none. */
  frozen = 0;
  private turn = 0;

  async start(name: 'consorzio' | 'munteco', hosts: number): Promise<void> {
    const {hostFlags, engineFlags, platformFlags} = this;
    this.fleet = await Fleet.start(
      {...DEPLOYMENTS[name], hosts},
      {
        hostFlags: ['--drain-milliseconds=300', ...hostFlags],
        engineFlags,
        platformFlags,
        wayToPlatform: async (host, platform) => {
          const wire = await Wire.open(platform);
          this.wires.set(host, wire);
          return wire.address;
        },
      },
    );
    await this.fleet.configure();
    const watchFor = [...this.fleet.keys.values()];
    for (const endpoint of this.fleet.endpoints.keys()) {
      await this.fleet.control(endpoint, {watchFor});
    }
  }

  stop(): void {
    this.fleet?.stop();
    for (const wire of this.wires.values()) wire.close();
  }

  host(number: number): HostProgram {
    const host = this.fleet.hosts[number - 1];
    if (!host) throw new RangeError(`no host ${number}`);
    return host;
  }

  /** Hosts that have not exited, as a balancer would know. */
  private liveHosts(): HostProgram[] {
    return this.fleet.hosts.filter(
      ({process}, index) =>
        process.exitCode === null &&
        process.signalCode === null &&
        index + 1 !== this.frozen,
    );
  }

  nextHost(): HostProgram {
    const hosts = this.liveHosts();
    const host = hosts[this.turn++ % hosts.length];
    if (!host) throw new RangeError('no host is alive');
    return host;
  }

  stream(
    team: string,
    model: string,
    host = this.nextHost(),
  ): Promise<StreamResult> {
    const result = streamOnce(
      this.fleet.keys.get(team) ?? '',
      team,
      model,
      host,
    );
    this.streams.push(result);
    return result;
  }

  call(
    team: string,
    method: string,
    path: string,
    idempotencyKey: string | undefined,
    host: HostProgram,
    body: string | undefined,
  ): Promise<CallResult> {
    const key = this.fleet.keys.get(team) ?? '';
    const headers: Record<string, string> = {authorization: `Bearer ${key}`};
    if (idempotencyKey !== undefined)
      headers['idempotency-key'] = idempotencyKey;
    const result = callOnce(`http://${host.address}${path}`, {
      method,
      headers,
      body: body ?? null,
    });
    this.calls.push(result);
    return result;
  }

  async ledger(endpoint: string): Promise<Ledger> {
    const address = this.fleet.endpoints.get(endpoint)?.address ?? '';
    return ledgerSchema.parse(await ask(address, 'GET', '/ledger'));
  }

  /** The ledgers of all endpoints of a pool that answer. */
  async ledgers(pool: string): Promise<Map<string, Ledger>> {
    const found = new Map<string, Ledger>();
    for (const [name, {process}] of this.fleet.endpoints) {
      const gone = process.exitCode !== null || process.signalCode !== null;
      if (name.startsWith(`${pool}-`) && !gone)
        found.set(name, await this.ledger(name));
    }
    return found;
  }
}

async function streamOnce(
  apiKey: string,
  team: string,
  model: string,
  host: HostProgram,
): Promise<StreamResult> {
  const client = new OpenAI({
    apiKey,
    baseURL: `http://${host.address}/v1`,
    maxRetries: 0,
  });
  let tokens = 0;
  let finished = false;
  try {
    const stream = await client.chat.completions.create({
      model,
      stream: true,
      messages: [{role: 'user', content: `Ciao from ${team}`}],
    });
    for await (const chunk of stream) {
      tokens++;
      if (chunk.choices[0]?.finish_reason) finished = true;
    }
    return {team, code: finished ? 'whole' : 'cut', tokens};
  } catch (error) {
    const code =
      error instanceof APIError ? (error.code ?? 'connection') : 'cut';
    return {team, code, tokens};
  }
}

async function callOnce(url: string, init: RequestInit): Promise<CallResult> {
  try {
    const answer = await fetch(url, init);
    const body = await answer.text();
    const parsed = answer.ok
      ? undefined
      : errorSchema.safeParse(JSON.parse(body)).data?.error;
    return {
      status: answer.status,
      code: parsed?.code ?? '',
      outcome: answer.headers.get('arbutusslip-outcome') ?? '',
      repeat: answer.headers.get('arbutusslip-repeat') === 'true',
      body,
    };
  } catch {
    return {
      status: 0,
      code: 'connection',
      outcome: '',
      repeat: false,
      body: '',
    };
  }
}
