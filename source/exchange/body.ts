/** Reads a caller's body within a bound of bytes. */
import type {IncomingMessage} from 'node:http';

import {Refusal} from '../errors/index.js';

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
  if (encoding !== 'identity') {
    const detail = 'an encoded body cannot be inspected';
    return Promise.reject(new Refusal('body-encoding', 'not-run', detail));
  }
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let length = 0;
    message.on('data', (part: Buffer) => {
      length += part.length;
      if (length <= limit) {
        parts.push(part);
        return;
      }
      message.removeAllListeners('data');
      message.resume();
      const detail = `the body is over ${limit} bytes`;
      reject(new Refusal('body-too-large', 'not-run', detail));
    });
    message.on('end', () => resolve(Buffer.concat(parts)));
    message.on('error', () => {
      const detail = 'the body is cut short';
      reject(new Refusal('malformed-request', 'not-run', detail));
    });
  });
}
