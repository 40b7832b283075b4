/**
 * One JSON call over HTTP, for everything that is not a caller's request. The
 * answer is checked by a schema, and each failure is a WireError by stage.
 */
import type {Agent} from 'node:http';

import type {z} from 'zod';

import {WireError} from '../errors/index.js';
import {isSuccessStatus} from './answer.js';
import {exchangeBytes} from './exchange.js';

/** A JSON call. */
export interface Call {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body?: unknown;
  /** Milliseconds for the whole call. */
  readonly bound: number;
  readonly agent?: Agent;
  /** Further headers. */
  readonly headers?: Readonly<Record<string, string>>;
}

/**
 * Makes the call and checks the answer. Throws a WireError.
 *
 * ```ts
 * const call = {address, method: 'GET', path: '/hosts', bound: 1000};
 * const hosts = await callJson(call, z.array(hostEntrySchema));
 * ```
 */
export async function callJson<Schema extends z.ZodType>(
  call: Call,
  schema: Schema,
): Promise<z.infer<Schema>> {
  const {body, headers} = call;
  const reply = await exchangeBytes({
    ...call,
    body: body === undefined ? undefined : Buffer.from(JSON.stringify(body)),
    headers: {'content-type': 'application/json', ...headers},
  });
  const {status} = reply;
  const text = reply.body.toString();
  if (!isSuccessStatus(status))
    throw new WireError('status', text.slice(0, 500), status);
  let value: unknown;
  try {
    value = JSON.parse(text || 'null');
  } catch {
    throw new WireError('malformed', call.path);
  }
  const parsed = schema.safeParse(value);
  if (!parsed.success) throw new WireError('malformed', parsed.error.message);
  return parsed.data;
}
