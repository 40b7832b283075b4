/**
 * Converts between the records of the store and the messages in which hosts
 * send them to each other.
 */
import type {PeerRecordPage} from '../store/index.js';
import type {GossipMessage, HostAddress, TopicPosition} from './message.js';

type Records = Extract<GossipMessage, {kind: 'records'}>;

/**
 * Returns the position of a topic among the given ones; 0 if it is not there.
 */
export function positionOf(
  positions: readonly TopicPosition[],
  topic: string,
): number {
  return positions.find(known => known.topic === topic)?.position ?? 0;
}

/** Creates the message that sends records of a topic. */
export function createRecordsMessage(
  from: HostAddress,
  topic: string,
  {records, end, whole}: PeerRecordPage,
): Records {
  return {kind: 'records', from, topic, records: [...records], end, whole};
}

/** Returns the records that a message contains. */
export function toRecordPage({records, end, whole}: Records): PeerRecordPage {
  return {
    records: records.map(({key, value, offset}) => ({
      key,
      value: value && Buffer.from(value),
      offset,
    })),
    end,
    whole,
  };
}
