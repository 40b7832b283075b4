/** Directories of endpoints that are ready, for tests of their selection. */
import type {Directory, KnownEndpoint} from '../../source/directory/index.js';

/** What differs between the endpoints of tests. */
export interface ReadyEndpoint {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  readonly zone?: string;
}

/** An endpoint that is ready, in no cold start and known from the start. */
export function readyEndpoint({
  id,
  service,
  slots,
  zone = 'palermo',
}: ReadyEndpoint): KnownEndpoint {
  return {
    entry: {
      id,
      service,
      address: '127.0.0.1:1',
      zone,
      slots,
      leaving: false,
      coldFor: 0,
      born: 1,
      reclaimable: false,
    },
    knownAt: 0,
    coldUntil: -Infinity,
    removeAt: undefined,
  };
}

/** So many engines of a service in one zone. */
export function directoryOfEngines(
  count: number,
  service: {readonly name: string; readonly engine: {readonly slots: number}},
): Directory {
  const ids = Array.from({length: count}, (_, index) => `engine-${index}`);
  const {slots} = service.engine;
  return new Map(
    ids.map(id => [id, readyEndpoint({id, service: service.name, slots})]),
  );
}
