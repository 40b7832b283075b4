/** Opens a port; a port that cannot be opened is a failure of its setting. */
import type {Server} from 'node:net';

import {SettingsError} from '../errors/index.js';

/** An IP number and a port. */
export interface AddressParts {
  readonly host: string;
  readonly port: number;
}

/** The parts of an address such as `127.0.0.1:80` or `[::1]:80`. */
export function partsOf(address: string): AddressParts {
  const split = address.lastIndexOf(':');
  const host = address.slice(0, split).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(split + 1))};
}

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
      resolve();
    });
  });
}
