/**
 * One JSON call over HTTP, for everything that is not a caller's request. The
 * answer is checked by a schema, and each failure is a WireError by stage.
 */
import {request, type Agent} from 'node:http';

import type {z} from 'zod';

import {WireError} from '../errors/index.js';

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
  const {status, text} = await exchange(call);
  if (status >= 300) throw new WireError('status', text.slice(0, 500), status);
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

function exchange(call: Call): Promise<{status: number; text: string}> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => outgoing.destroy(new Error('timed out')),
      call.bound,
    );
    const outgoing = request(
      `http://${call.address}${call.path}`,
      {
        method: call.method,
        agent: call.agent,
        headers: {'content-type': 'application/json', ...call.headers},
      },
      answer => {
        const parts: Buffer[] = [];
        answer.on('data', (part: Buffer) => parts.push(part));
        answer.on('end', () =>
          resolve({
            status: answer.statusCode ?? 0,
            text: Buffer.concat(parts).toString(),
          }),
        );
        answer.on('error', error =>
          reject(new WireError('cut', error.message)),
        );
      },
    );
    outgoing.on('close', () => clearTimeout(timer));
    outgoing.on('error', error =>
      reject(new WireError('connect', error.message)),
    );
    outgoing.end(
      call.body === undefined ? undefined : JSON.stringify(call.body),
    );
  });
}
