/**
 * Converts between the records of the store and the messages in which hosts
 * send them to each other.
 */
import {deflateRawSync, inflateRawSync} from 'node:zlib';

import type {PeerRecordPage, StorePosition} from '../store/index.js';
import type {GossipMessage, HostAddress, TopicPosition} from './message.js';

type Records = Extract<GossipMessage, {kind: 'records'}>;
type MessageRecord = Records['records'][number];

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
  {records, start, end, era, whole}: PeerRecordPage,
): Records {
  return {
    kind: 'records',
    from,
    topic,
    records: [...records],
    start,
    end,
    era,
    whole,
  };
}

/**
 * Values from this size on are compressed between hosts. A configuration of many
 * routes would else fill the links of the hosts that pass it on for seconds.
 */
const MIN_COMPRESSED_BYTES = 4_096;
/** Largest value that is decompressed. */
const MAX_VALUE_BYTES = 4_194_304;
/** Speed goes before size, as a host has little processor time. */
const COMPRESSION_LEVEL = 1;

const compressedMessages = new WeakMap<Records, Records>();

/**
 * Returns a message with its large values compressed; the same one each time, as
 * it goes to many hosts.
 */
export function compressRecords(message: Records): Records {
  const known = compressedMessages.get(message);
  if (known) return known;
  const compressed = {
    ...message,
    records: message.records.map(record => compressRecord(record)),
  };
  compressedMessages.set(message, compressed);
  return compressed;
}

function compressRecord(record: MessageRecord): MessageRecord {
  const {key, value, offset} = record;
  if (!value || value.length < MIN_COMPRESSED_BYTES) return record;
  const deflated = deflateRawSync(value, {level: COMPRESSION_LEVEL});
  return {key, deflated, offset};
}

/** Returns the value of a record. Throws if it cannot be decompressed. */
function valueOf({value, deflated}: MessageRecord): Buffer | undefined {
  if (!deflated) return value && Buffer.from(value);
  return inflateRawSync(deflated, {maxOutputLength: MAX_VALUE_BYTES});
}

/**
 * Returns the records that a message contains. Throws if one cannot be
 * decompressed.
 */
export function toRecordPage({
  records,
  start,
  end,
  era,
  whole,
}: Records): PeerRecordPage {
  return {
    records: records.map(record => ({
      key: record.key,
      value: valueOf(record),
      offset: record.offset,
    })),
    start,
    end,
    era,
    whole,
  };
}
