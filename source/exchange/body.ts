/** Reads a caller's body, which must stand as it is to be inspected. */
import type {IncomingMessage} from 'node:http';

import {Refusal} from '../errors/index.js';
import {readBytes} from '../wire/index.js';

/**
 * The whole body. Throws a Refusal for one that is too large or encoded, and
 * for a caller that leaves before its end.
 *
 * ```ts
 * const body = await readBody(request, 4_194_304);
 * ```
 */
export function readBody(
  message: IncomingMessage,
  limit: number,
): Promise<Buffer> {
  const encoding = message.headers['content-encoding'] ?? 'identity';
  if (encoding === 'identity') return readBytes(message, limit);
  const detail = 'an encoded body cannot be inspected';
  return Promise.reject(new Refusal('body-encoding', 'not-run', detail));
}
