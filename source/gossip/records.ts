/**
 * Converts between the records of the store and the messages in which hosts
 * send them to each other.
 */
import type {PeerRecordPage, StorePosition} from '../store/index.js';
import type {GossipMessage, HostAddress, TopicPosition} from './message.js';

type Records = Extract<GossipMessage, {kind: 'records'}>;

/**
 * Returns the position of a topic among the given ones; offset 0 if it is not
 * there.
 */
export function positionOf(
  positions: readonly TopicPosition[],
  topic: string,
): StorePosition {
  const known = positions.find(each => each.topic === topic);
  return {offset: known?.position ?? 0, era: known?.era};
}

/** Creates the message that sends records of a topic. */
export function createRecordsMessage(
  from: HostAddress,
  topic: string,
  {records, end, era, whole}: PeerRecordPage,
): Records {
  return {kind: 'records', from, topic, records: [...records], end, era, whole};
}

/** Returns the records that a message contains. */
export function toRecordPage({
  records,
  end,
  era,
  whole,
}: Records): PeerRecordPage {
  return {
    records: records.map(({key, value, offset}) => ({
      key,
      value: value && Buffer.from(value),
      offset,
    })),
    end,
    era,
    whole,
  };
}
