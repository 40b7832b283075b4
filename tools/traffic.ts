/**
 * Mixed traffic against a fleet, through the stock client, as the platform's
 * balancer would spread it: a seeded choice of kind, team and host for each
 * request.
 */
import OpenAI, {APIError} from 'openai';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

import type {Fleet, HostProgram} from './fleet.js';
import {KINDS, type Kind} from './prompts.js';

/** What became of one request. */
export interface Result {
  readonly className: string;
  readonly team: string;
  readonly ok: boolean;
  /** Code of the refusal; empty for none. */
  readonly code: string;
  readonly outcome: string;
  /** Milliseconds from the start. */
  readonly startedAt: number;
  /** Milliseconds to the first token or the answer. */
  readonly first: number;
  /** Mean milliseconds between tokens. */
  readonly between: number;
  readonly tokens: number;
  readonly once: boolean;
}

/** How traffic is made. */
export interface TrafficOptions {
  readonly seed: number;
  /** Requests under way at once. */
  readonly concurrency: number;
  /** Milliseconds for which new requests are made. */
  readonly duration: number;
  /** Hosts that the balancer sends to, asked before each request. */
  readonly hosts: () => readonly HostProgram[];
  readonly done: (result: Result) => void;
}

interface Caller {
  readonly team: string;
  readonly key: string;
}

/** Makes traffic and answers what became of it. */
export async function makeTraffic(
  fleet: Fleet,
  options: TrafficOptions,
): Promise<Result[]> {
  const random = xoroshiro128plus(options.seed);
  const callers = [...fleet.keys].map(([team, key]) => ({team, key}));
  const kinds = KINDS[fleet.deployment.name];
  const results: Result[] = [];
  const began = performance.now();
  const worker = async () => {
    while (performance.now() - began < options.duration) {
      const kind = chooseKind(kinds, uniformInt(random, 0, 999) / 1000);
      const caller = choose(callers, uniformInt(random, 0, 9_999));
      const host = choose(options.hosts(), uniformInt(random, 0, 9_999));
      const salt = uniformInt(random, 0, 999_999);
      const result = await makeRequest(kind, caller, host, salt, began);
      results.push(result);
      options.done(result);
    }
  };
  await Promise.all(Array.from({length: options.concurrency}, worker));
  return results;
}

function choose<T>(list: readonly T[], number: number): T {
  const chosen = list[number % list.length];
  if (chosen === undefined) throw new RangeError('nothing to choose from');
  return chosen;
}

function chooseKind(kinds: readonly Kind[], point: number): Kind {
  let sum = 0;
  for (const kind of kinds) {
    sum += kind.share;
    if (point < sum) return kind;
  }
  return choose(kinds, 0);
}

async function makeRequest(
  kind: Kind,
  caller: Caller,
  host: HostProgram,
  salt: number,
  began: number,
): Promise<Result> {
  const start = performance.now();
  const base = {
    className: kind.className,
    team: caller.team,
    startedAt: start - began,
    once: kind.service?.once ?? false,
  };
  try {
    const figures = kind.chat
      ? await chat(kind.chat, caller, host, salt, start)
      : await call(kind.service, caller, host, salt, start);
    return {...base, ...figures};
  } catch (error) {
    const {code, outcome} = failureOf(error);
    const first = performance.now() - start;
    return {...base, ok: false, code, outcome, first, between: 0, tokens: 0};
  }
}

type Figures = Omit<Result, 'className' | 'team' | 'startedAt' | 'once'>;

async function chat(
  {model, prompts}: NonNullable<Kind['chat']>,
  {key}: Caller,
  host: HostProgram,
  salt: number,
  start: number,
): Promise<Figures> {
  const baseURL = `http://${host.address}/v1`;
  const client = new OpenAI({apiKey: key, baseURL, maxRetries: 0});
  const stream = await client.chat.completions.create({
    model,
    stream: true,
    messages: [{role: 'user', content: choose(prompts, salt)}],
  });
  let firstAt = 0;
  let lastAt = 0;
  let tokens = 0;
  let finished = false;
  for await (const chunk of stream) {
    lastAt = performance.now();
    if (firstAt === 0) firstAt = lastAt;
    tokens++;
    if (chunk.choices[0]?.finish_reason) finished = true;
  }
  const between = tokens > 1 ? (lastAt - firstAt) / (tokens - 1) : 0;
  const code = finished ? '' : 'not-whole';
  return {
    ok: finished,
    code,
    outcome: 'ran',
    first: firstAt - start,
    between,
    tokens,
  };
}

async function call(
  service: Kind['service'],
  {key}: Caller,
  host: HostProgram,
  salt: number,
  start: number,
): Promise<Figures> {
  const {method, path, once} = service ?? {
    method: 'GET',
    path: '/',
    once: false,
  };
  const headers: Record<string, string> = {authorization: `Bearer ${key}`};
  if (once) headers['idempotency-key'] = `quickstart-${salt}-${start}`;
  const body = method === 'POST' ? JSON.stringify({amount: salt}) : null;
  const answer = await fetch(`http://${host.address}${path}`, {
    method,
    headers,
    body,
  });
  const text = await answer.text();
  const first = performance.now() - start;
  const outcome = answer.headers.get('arbutusslip-outcome') ?? '';
  const code = answer.ok ? '' : codeOf(text);
  return {ok: answer.ok, code, outcome, first, between: 0, tokens: 0};
}

function codeOf(text: string): string {
  try {
    const {error} = JSON.parse(text) as {error?: {code?: string}};
    return error?.code ?? 'unknown';
  } catch {
    return 'unknown';
  }
}

function failureOf(error: unknown): {code: string; outcome: string} {
  if (!(error instanceof APIError))
    return {code: 'connection', outcome: 'unknown'};
  const {outcome} = (error.error ?? {}) as {outcome?: string};
  return {code: error.code ?? 'connection', outcome: outcome ?? 'unknown'};
}
