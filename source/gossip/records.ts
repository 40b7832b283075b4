/** Records of the store, as hosts pass them on to each other. */
import type {PassedOn} from '../store/index.js';
import type {Gossip, HostAddress, TopicPosition} from './message.js';

type Records = Extract<Gossip, {kind: 'records'}>;

/** The position of a topic among others; 0 where it is not known. */
export function positionOf(
  positions: readonly TopicPosition[],
  topic: string,
): number {
  return positions.find(known => known.topic === topic)?.position ?? 0;
}

/** The message that passes records of a topic on. */
export function recordsMessage(
  from: HostAddress,
  topic: string,
  {records, end, whole}: PassedOn,
): Records {
  return {kind: 'records', from, topic, records: [...records], end, whole};
}

/** The records that a message passes on. */
export function pageOf({records, end, whole}: Records): PassedOn {
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
