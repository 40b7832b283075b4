/** How a host is entered in a keyed topic of the store, under its name. */
import {decode, encode} from 'cbor-x';

import {hostAddressSchema, type HostAddress} from '../gossip/index.js';
import type {KeyedRecord, KeyedValue} from '../store/index.js';

export const HOSTS_TOPIC = 'keyed.hosts';

const recordSchema = hostAddressSchema.omit({name: true});

/** The record that enters a host. */
export function recordOfHost({name, ...entry}: HostAddress): KeyedValue {
  return {key: name, value: encode(entry)};
}

/**
 * The host that a record enters; undefined where it removes one. Throws an error
 * where it cannot be read.
 */
export function hostOfRecord({
  key: name,
  value,
}: KeyedRecord): HostAddress | undefined {
  if (!value) return undefined;
  return {name, ...recordSchema.parse(decode(value))};
}
