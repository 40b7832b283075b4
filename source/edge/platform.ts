/** What a host needs from the platform that it stands on. */
import type {EntryChange} from '../directory/index.js';
import type {FencedPlatformClient} from '../leader/index.js';
import type {Protocol} from '../forward/index.js';
import type {RoutingConfiguration} from '../routing/index.js';
import type {KeyedRecord, RecordStore} from '../store/index.js';

/** What an operator's record says. */
export type OperatorChange =
  | {readonly kind: 'routing'; readonly routing: RoutingConfiguration}
  | {readonly kind: 'zone'; readonly zone: string; readonly out: boolean}
  | {readonly kind: 'unknown'}
  | {readonly kind: 'malformed'; readonly detail: string};

/** What an endpoint's record says. */
export type EndpointChange =
  | ({readonly kind: 'entry'} & EntryChange)
  | {readonly kind: 'malformed'; readonly id: string; readonly detail: string};

/** Reads the records that others write into the store. */
export abstract class RecordReader {
  abstract readonly operatorTopic: string;
  abstract readonly endpointTopic: string;
  abstract operator(record: KeyedRecord): OperatorChange;
  abstract endpoint(record: KeyedRecord): EndpointChange;
}

/** The platform, as one host sees it. */
export interface PlatformParts {
  readonly store: RecordStore;
  readonly protocol: Protocol;
  readonly reader: RecordReader;
  /** Absent where the platform has no duties. */
  readonly duties: FencedPlatformClient | undefined;
}
