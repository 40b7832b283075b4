/** Addresses: their parts, and a check of those that come from outside. */
import {isIP} from 'node:net';

import * as z from 'zod';

const MAX_PORT = 65_535;

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
 * Whether a text is an IP address and a port to connect to. Node throws when it
 * is asked to connect to a port that is none.
 *
 * ```ts
 * isAddress('10.0.0.1:80'); // true
 * isAddress('10.0.0.1:99999'); // false
 * ```
 */
export function isAddress(text: string): boolean {
  const {host, port} = partsOf(text);
  const isPort = Number.isInteger(port) && port > 0 && port <= MAX_PORT;
  return isPort && isIP(host) !== 0;
}

/** An IP address and a port to connect to. */
export const addressSchema = z
  .string()
  .refine(isAddress, 'must be an IP address and a port, such as 10.0.0.1:80');
