/** Opens the port of a stand-in. */
import type {Server} from 'node:net';

import {SettingsError} from '../source/errors/index.js';
import {partsOf} from '../source/wire/index.js';

/**
 * Listens on an address. Throws a SettingsError.
 *
 * ```ts
 * await listen(server, '127.0.0.1:8080');
 * ```
 */
export function listen(server: Server, address: string): Promise<void> {
  const {host, port} = partsOf(address);
  return new Promise((resolve, reject) => {
    const fail = (error: Error) =>
      reject(new SettingsError(address, error.message));
    server.once('error', fail);
    server.listen({host, port}, () => {
      server.removeListener('error', fail);
      server.on('error', reportError);
      resolve();
    });
  });
}

/** An error on accept, as when descriptors run out, does not end a stand-in. */
function reportError({message}: Error): void {
  process.stderr.write(`the server goes on to listen: ${message}\n`);
}
