/** Reads the whole body of a message within a bound of bytes. */
import type {IncomingMessage} from 'node:http';

import {Refusal} from '../errors/index.js';
import {ByteCollector} from './collector.js';

/**
 * The whole body. Throws a Refusal for one that is too large, or that ends
 * before it is whole.
 *
 * ```ts
 * const body = await readBytes(request, 4_194_304);
 * ```
 */
export function readBytes(
  message: IncomingMessage,
  limit: number,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const collector = new ByteCollector();
    message.on('data', (bytes: Buffer) => {
      if (collector.length + bytes.length <= limit) {
        collector.push(bytes);
        return;
      }
      collector.clear();
      message.removeAllListeners('data');
      message.resume();
      const detail = `the body is over ${limit} bytes`;
      reject(new Refusal('body-too-large', 'not-run', detail));
    });
    message.on('end', () => resolve(collector.take()));
    message.on('error', () => {
      const detail = 'the body is cut short';
      reject(new Refusal('malformed-request', 'not-run', detail));
    });
  });
}
