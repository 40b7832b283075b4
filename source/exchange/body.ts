/** Reads a caller's body, which must have no content encoding, as it is inspected. */
import type {IncomingMessage} from 'node:http';

import {Refusal} from '../errors/index.js';
import {readBytes} from '../wire/index.js';

/**
 * Returns the complete body; `limit` is in bytes. Throws a Refusal if it is too
 * large or has a content encoding, or if the caller disconnects before its end.
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
