/**
 * What a host needs from the platform on which it runs. Each platform implements
 * it, so that the host depends on no platform's names or formats.
 */
import type {EntryChange} from '../directory/index.js';
import type {FencedPlatformClient} from '../leader/index.js';
import type {Protocol} from '../forward/index.js';
import type {RolloutOrder, RolloutStatusFormat} from '../rollout/index.js';
import type {RoutingConfiguration} from '../routing/index.js';
import type {KeyedRecord, RecordStore} from '../store/index.js';

/**
 * The content of an operator's record. `unknown`: the key has no meaning to the
 * host, or the configuration was removed.
 */
export type OperatorChange =
  | {readonly kind: 'routing'; readonly routing: RoutingConfiguration}
  | {readonly kind: 'zone'; readonly zone: string; readonly out: boolean}
  | {
      readonly kind: 'rollout';
      readonly service: string;
      /** Undefined where the order was removed. */
      readonly order: RolloutOrder | undefined;
    }
  | {readonly kind: 'unknown'}
  | {readonly kind: 'malformed'; readonly detail: string};

/** The content of an endpoint's record; `id` is its key. */
export type EndpointChange =
  | ({readonly kind: 'entry'} & EntryChange)
  | {readonly kind: 'malformed'; readonly id: string; readonly detail: string};

/**
 * Parses the records that operators and endpoints write into the store. Never
 * throws: a record that cannot be parsed is `malformed`.
 */
export abstract class RecordReader {
  /** Topic of the store with the operator's records. */
  abstract readonly operatorTopic: string;
  /** Topic of the store with the endpoints' records. */
  abstract readonly endpointTopic: string;
  abstract parseOperatorRecord(record: KeyedRecord): OperatorChange;
  abstract parseEndpointRecord(record: KeyedRecord): EndpointChange;
}

/** The components by which a host uses its platform. */
export interface PlatformParts {
  readonly store: RecordStore;
  readonly protocol: Protocol;
  readonly reader: RecordReader;
  /** How the platform is told of roll-outs. */
  readonly rolloutStatus: RolloutStatusFormat;
  /** Absent if the platform has no interface for leader tasks. */
  readonly leaderClient: FencedPlatformClient | undefined;
}
